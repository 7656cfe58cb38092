package bodybudget

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"quillfront/internal/httpmsg"
)

const (
	size     = 1 << 20
	maxWhole = size / 2
)

// TestLongBodiesLeaveMemory guards against long bodies, whose clients may send them for minutes, that
// take the memory which short bodies need.
func TestLongBodiesLeaveMemory(t *testing.T) {
	b := New(size)
	for {
		if r := b.Reserve(maxWhole, maxWhole); r.Bytes == 0 {
			break
		}
	}
	for {
		if r := b.Reserve(2*maxWhole, maxWhole); r.Bytes == 0 {
			break
		}
	}
	if want := int64(size / 4); size-b.Used() < want {
		t.Errorf("%d bytes are free, want %d", size-b.Used(), want)
	}
	if r := b.Reserve(httpmsg.MaxFullBody, maxWhole); r.Bytes != httpmsg.MaxFullBody {
		t.Errorf("%d bytes of a short body beside long ones", r.Bytes)
	}
	if r := b.Reserve(-1, maxWhole); r.Bytes != maxSmall {
		t.Errorf("%d bytes of a body of unknown length beside long ones", r.Bytes)
	}
	for {
		if r := b.Reserve(httpmsg.MaxFullBody, maxWhole); r.Bytes == 0 {
			break
		}
	}
	if want := int64(size / 8); size-b.Used() < want-2*maxSmall {
		t.Errorf("%d bytes are free for small bodies, want %d", size-b.Used(), want)
	}
	if _, err := b.AwaitStart(context.Background(), 200, time.Second); err != nil {
		t.Errorf("a small body beside long ones: %v", err)
	}
}

// TestReservations checks over random bodies that the budget is never exceeded, that no more than a
// body's length is reserved, and that everything is returned.
func TestReservations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := New(size)
	var held []Reservation
	for range 10_000 {
		if len(held) > 0 && random.IntN(2) == 0 {
			i := random.IntN(len(held))
			held[i].Release()
			held[i] = held[len(held)-1]
			held = held[:len(held)-1]
			continue
		}
		length := random.Int64N(2*maxWhole) - 1
		r := b.Reserve(length, maxWhole)
		if length >= 0 && r.Bytes > length {
			t.Fatalf("%d bytes are reserved for a body of %d", r.Bytes, length)
		}
		if held = append(held, r); b.Used() > size {
			t.Fatalf("%d bytes are reserved of %d", b.Used(), size)
		}
	}
	for _, r := range held {
		r.Release()
	}
	if b.Used() != 0 || b.Reserve(maxWhole, maxWhole).Bytes != maxWhole {
		t.Errorf("%d bytes stay reserved", b.Used())
	}
}

// TestAwaitStart checks that a wait for memory ends with its context, or once there is enough.
func TestAwaitStart(t *testing.T) {
	b := New(httpmsg.MaxFullBody)
	held, err := b.AwaitStart(context.Background(), -1, time.Second)
	if err != nil || held.Bytes != httpmsg.MaxFullBody {
		t.Fatalf("%d bytes, %v", held.Bytes, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := b.AwaitStart(ctx, 1, time.Hour); err == nil {
		t.Error("memory that is in use was reserved again")
	}
	if _, err := b.AwaitStart(context.Background(), 1, 40*time.Millisecond); err == nil {
		t.Error("memory that is in use was reserved again")
	}
	time.AfterFunc(10*time.Millisecond, held.Release)
	if r, err := b.AwaitStart(context.Background(), 1, time.Minute); err != nil || r.Bytes != 1 {
		t.Errorf("%d bytes, %v", r.Bytes, err)
	}
}
