package session

import "strings"

// tokenKind is the kind of a token.
type tokenKind byte

const (
	tokenEnd          tokenKind = iota
	tokenWord                   // a keyword or an unquoted name, in lower case
	tokenQuotedName             // a name in backquotes
	tokenString                 // a string literal in single quotes
	tokenDoubleQuoted           // a string literal, or under ANSI_QUOTES a name
	tokenNumber                 // begins with a digit, or a dot and a digit
	tokenUserVar                // @x, a user variable
	tokenSystemVar              // @@x, a system variable
	tokenPunct                  // any other byte, or :=
)

// token is a lexical token of a statement.
type token struct {
	kind  tokenKind
	text  string // of a word, a name without its quotes, a variable without its @, or punctuation
	start int    // offset of its first byte
	end   int    // offset behind its last byte
}

// lexer splits a statement into tokens, for the given SQL mode. Where the server may read the text
// differently, it sets ambiguous.
type lexer struct {
	input            string
	pos              int
	noBackslash      bool     // SQL mode NO_BACKSLASH_ESCAPES
	ambiguous        bool     // the server may read the text differently
	comments         []string // the first maxComments plain comments
	inVersionComment bool     // within a /*! comment, whose text is code
}

const maxComments = 4

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// next returns the next token.
func (l *lexer) next() token {
	l.skipSpace()
	from := l.pos
	if l.pos >= len(l.input) {
		return token{kind: tokenEnd, start: from, end: from}
	}
	c := l.input[l.pos]
	switch {
	case c == '\'':
		l.skipQuoted(c)
		return token{tokenString, "", from, l.pos}
	case c == '"':
		l.skipQuoted(c)
		return token{tokenDoubleQuoted, l.quotedName(from), from, l.pos}
	case c == '`':
		l.skipQuoted(c)
		return token{tokenQuotedName, l.quotedName(from), from, l.pos}
	case c >= '0' && c <= '9' || c == '.' && l.peek(1) >= '0' && l.peek(1) <= '9':
		for l.pos < len(l.input) && (isWordByte(l.input[l.pos]) || l.input[l.pos] == '.') {
			l.pos++
		}
		return token{tokenNumber, "", from, l.pos}
	case (c == 'x' || c == 'X' || c == 'b' || c == 'B' || c == 'n' || c == 'N') && l.peek(1) == '\'':
		l.pos++
		l.skipQuoted('\'')
		return token{tokenString, "", from, l.pos}
	case c == '@':
		return l.variable(from)
	case isWordByte(c):
		for l.pos < len(l.input) && isWordByte(l.input[l.pos]) {
			l.pos++
		}
		return token{tokenWord, strings.ToLower(l.input[from:l.pos]), from, l.pos}
	case c == ':' && l.peek(1) == '=':
		l.pos += 2
		return token{tokenPunct, ":=", from, l.pos}
	}
	l.pos++
	return token{tokenPunct, string(c), from, l.pos}
}

// maxQuotedName is the length from which quoted text is not compared with any name.
const maxQuotedName = 128

// quotedName returns the quoted name that begins at from and ends at the present position, in lower
// case and without its quotes, or "" if it is too long for the name of anything built in.
func (l *lexer) quotedName(from int) string {
	if l.pos-from >= maxQuotedName {
		return ""
	}
	return strings.ToLower(unquote(l.input[from:l.pos]))
}

// unquote returns a name without the quotes around it.
func unquote(name string) string {
	if len(name) < 2 || !strings.ContainsRune("`\"'", rune(name[0])) || name[len(name)-1] != name[0] {
		return name
	}
	quote := name[:1]
	return strings.ReplaceAll(name[1:len(name)-1], quote+quote, quote)
}

// variable returns the variable that begins at start.
func (l *lexer) variable(from int) token {
	l.pos++
	k := tokenUserVar
	if l.peek(0) == '@' {
		l.pos++
		k = tokenSystemVar
	}
	begin := l.pos
	if q := l.peek(0); q == '\'' || q == '"' || q == '`' {
		l.skipQuoted(q)
		return token{k, l.quotedName(begin), from, l.pos}
	}
	for l.pos < len(l.input) && (isWordByte(l.input[l.pos]) || l.input[l.pos] == '.') {
		l.pos++
	}
	return token{k, strings.ToLower(l.input[begin:l.pos]), from, l.pos}
}

// peek returns the byte n positions ahead, or 0 beyond the end.
func (l *lexer) peek(n int) byte {
	if l.pos+n < len(l.input) {
		return l.input[l.pos+n]
	}
	return 0
}

// skipQuoted skips text that is quoted by q.
func (l *lexer) skipQuoted(q byte) {
	for l.pos++; l.pos < len(l.input); l.pos++ {
		switch c := l.input[l.pos]; {
		case c == '\\' && q != '`':
			if q == '"' { // under ANSI_QUOTES a name, without escapes
				l.ambiguous = true
			}
			if !l.noBackslash {
				l.pos++
			}
		case c == q:
			l.pos++
			if l.peek(0) != q {
				return
			}
		}
	}
	l.ambiguous = true // unterminated
	l.pos = len(l.input)
}

// skipSpace skips white space and comments. The text of a comment that begins with an exclamation
// mark is code.
func (l *lexer) skipSpace() {
	for l.pos < len(l.input) {
		switch c := l.input[l.pos]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.pos++
		case c == '#', c == '-' && l.peek(1) == '-' && (l.pos+2 >= len(l.input) || l.input[l.pos+2] <= ' '):
			for l.pos < len(l.input) && l.input[l.pos] != '\n' {
				l.pos++
			}
		case c == '/' && l.peek(1) == '*':
			if l.peek(2) == '!' || l.peek(2) == 'M' && l.peek(3) == '!' {
				// The server's version decides whether the text is executed.
				l.ambiguous, l.inVersionComment = true, true
				l.pos += 3
				for l.peek(0) == '!' || l.peek(0) >= '0' && l.peek(0) <= '9' {
					l.pos++
				}
				continue
			}
			n := strings.Index(l.input[l.pos+2:], "*/")
			if n < 0 {
				l.ambiguous = true
				l.pos = len(l.input)
				return
			}
			if len(l.comments) < maxComments {
				l.comments = append(l.comments, l.input[l.pos+2:l.pos+2+n])
			}
			l.pos += n + 4
		case c == '*' && l.peek(1) == '/' && l.inVersionComment:
			l.inVersionComment = false
			l.pos += 2
		default:
			return
		}
	}
}
