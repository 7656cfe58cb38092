package orders

import (
	"hash/fnv"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"quillfront/ledger"
)

// bootID identifies the current boot of the machine; 0 if it cannot be determined.
var bootID = sync.OnceValue(func() uint64 {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
})

// Now reads both clocks. The monotonic clock is CLOCK_BOOTTIME, which advances during suspend and
// is the same for all processes of the machine.
func Now() ledger.Instant {
	i := ledger.Instant{Wall: time.Now().UnixNano()}
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		i.Boot, i.Up = bootID(), ts.Nano()
	}
	return i
}
