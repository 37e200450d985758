package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// storeRelay stands in front of the store and forwards every channel. It can make the open ones go silent.
type storeRelay struct {
	rec      *record
	store    string
	listener net.Listener

	mu   sync.Mutex
	open map[*relayed]bool
}

// relayed is one channel to the store.
type relayed struct {
	conn   net.Conn
	silent atomic.Bool
}

func newStoreRelay(rec *record, store string) (*storeRelay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &storeRelay{rec: rec, store: store, listener: ln, open: make(map[*relayed]bool)}
	go r.accept()
	return r, nil
}

func (r *storeRelay) address() string { return r.listener.Addr().String() }

func (r *storeRelay) close() { _ = r.listener.Close() }

func (r *storeRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(&relayed{conn: conn})
	}
}

func (r *storeRelay) forward(c *relayed) {
	r.mu.Lock()
	r.open[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, c)
		_ = c.conn.Close()
	}()
	store, err := net.Dial("tcp4", r.store)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	go func() {
		c.copy(c.conn, store)
		if !c.silent.Load() {
			_ = c.conn.Close()
		}
	}()
	c.copy(store, c.conn)
}

// copy forwards bytes until the end of src. Once the channel is silent, the bytes are dropped.
func (c *relayed) copy(dst io.Writer, src io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes all open channels silent for good, without a reset, and returns their number. New ones work.
func (r *storeRelay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent.Store(true)
	}
	r.rec.add("%d open channels to the store go silent; new ones work", len(r.open))
	return len(r.open)
}
