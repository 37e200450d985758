// Package boundedbuffer holds bytes from other processes in buffers whose memory is bounded together, since a faulty one may
// send bytes without end to many requests at the same time.
package boundedbuffer
