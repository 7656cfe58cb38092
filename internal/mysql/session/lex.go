package session

import "strings"

// tokenKind is what a token is.
type tokenKind byte

const (
	tokenEnd        tokenKind = iota
	tokenWord                 // a keyword or name without quotes, in lower case
	tokenQuotedName           // a quoted name
	tokenString               // a quoted text
	tokenNumber               // it begins with a digit
	tokenUserVar              // @x, a variable of the session's own
	tokenSystemVar            // @@x
	tokenPunct                // one byte of anything else; := is one
)

// token is a piece of a statement.
type token struct {
	kind  tokenKind
	text  string // of a word, a variable without its @, or a mark
	start int    // where it begins
	end   int    // and ends
}

// lexer cuts a statement into tokens. It is right for the modes that it is told; where it cannot be sure it says so by opaque.
type lexer struct {
	input            string
	pos              int
	noBackslash      bool     // a backslash escapes nothing
	ambiguous        bool     // what was read may mean something else to the server
	comments         []string // plain ones, the first few
	inVersionComment bool     // within a comment whose text is code
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
	case c == '\'' || c == '"':
		l.skipQuoted(c)
		return token{tokenString, "", from, l.pos}
	case c == '`':
		l.skipQuoted(c)
		return token{tokenQuotedName, "", from, l.pos}
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
	} else {
		for l.pos < len(l.input) && (isWordByte(l.input[l.pos]) || l.input[l.pos] == '.') {
			l.pos++
		}
	}
	return token{k, strings.ToLower(l.input[begin:l.pos]), from, l.pos}
}

func (l *lexer) peek(n int) byte {
	if l.pos+n < len(l.input) {
		return l.input[l.pos+n]
	}
	return 0
}

// skipQuoted passes over what is skipQuoted by q.
func (l *lexer) skipQuoted(q byte) {
	for l.pos++; l.pos < len(l.input); l.pos++ {
		switch c := l.input[l.pos]; {
		case c == '\\' && q != '`':
			if q == '"' { // a text or, by the server's mode, a name, in which it means nothing
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
	l.ambiguous = true // it does not end
	l.pos = len(l.input)
}

// skipSpace passes over spaces and comments. The text of a comment that begins with an exclamation mark is code.
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
				// Whether it is run hangs on the server's version.
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
