package request

// tokenLog holds the tokens of an answer in one append-only buffer. Slices that
// it returned stay valid, because written bytes never change.
type tokenLog struct {
	text []byte
	// ends[i] is the offset of the end of token i in text.
	ends []uint32
}

// count returns the number of tokens.
func (l *tokenLog) count() int {
	return len(l.ends)
}

// append adds a token at the end.
func (l *tokenLog) append(token string) {
	l.text = append(l.text, token...)
	l.ends = append(l.ends, uint32(len(l.text)))
}

// token returns token i as a slice of text.
func (l *tokenLog) token(i int) []byte {
	start := uint32(0)
	if i > 0 {
		start = l.ends[i-1]
	}
	return l.text[start:l.ends[i]:l.ends[i]]
}

// tokens returns copies of the tokens from index first on.
func (l *tokenLog) tokens(first int) []string {
	out := make([]string, 0, l.count()-first)
	for i := first; i < l.count(); i++ {
		out = append(out, string(l.token(i)))
	}
	return out
}
