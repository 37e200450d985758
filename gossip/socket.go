package gossip

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/samber/oops"

	"knapweedhoist/fleetstate"
	"knapweedhoist/internal/contain"
	"knapweedhoist/streamorigin"
)

// maxDatagramBytes is the size in bytes above which a message is not sent.
const maxDatagramBytes = 60 << 10

// Handler receives the messages of other instances. Its functions are called from one goroutine.
type Handler struct {
	Report  func(fleetstate.Report)
	Summary func(fleetstate.Summary)
	Digest  func(fleetstate.Digest)
	Origins func(streamorigin.Statement)
}

// Socket sends and receives messages over UDP. It is safe for concurrent use.
type Socket struct {
	lg   *slog.Logger
	conn *net.UDPConn
	// malformed is the number of received datagrams that could not be decoded.
	malformed atomic.Uint64
}

// Listen opens a Socket at an address IP:PORT.
func Listen(lg *slog.Logger, address string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, oops.With("step", "resolve gossip address", "peer", address).Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, oops.With("step", "listen for gossip", "peer", address).Wrap(err)
	}
	return &Socket{lg: lg, conn: conn}, nil
}

// SendReport sends a report to each target and returns its size in bytes.
func (s *Socket) SendReport(report fleetstate.Report, targets []fleetstate.ReportTarget) int {
	encoded := make(map[bool][]byte, 2)
	size := 0
	for _, target := range targets {
		datagram, ok := encoded[target.WantsDigest]
		if !ok {
			var err error
			report.WantsDigest = target.WantsDigest
			if datagram, err = encodeReport(report); err != nil {
				s.logUnsent("report", 0, err)
				return 0
			}
			encoded[target.WantsDigest] = datagram
		}
		size = len(datagram)
		s.send("report", datagram, target.Address)
	}
	return size
}

// SendSummary sends a summary to each target and returns its size in bytes.
func (s *Socket) SendSummary(summary fleetstate.Summary, targets []fleetstate.Peer) int {
	datagram, err := encodeSummary(summary)
	if err != nil {
		s.logUnsent("summary", 0, err)
		return 0
	}
	for _, target := range targets {
		s.send("summary", datagram, target.Address)
	}
	return len(datagram)
}

// SendDigest sends a digest to each target and returns its size in bytes.
func (s *Socket) SendDigest(digest fleetstate.Digest, targets []fleetstate.DigestTarget) int {
	encoded, err := encodeDigest(digest)
	if err != nil {
		s.logUnsent("digest", 0, err)
		return 0
	}
	for _, target := range targets {
		datagram, err := addressDigest(encoded, target)
		if err != nil {
			s.logUnsent("digest", len(encoded), err)
			continue
		}
		s.send("digest", datagram, target.Address)
	}
	return len(encoded)
}

// SendOrigins sends a statement with the origins of at most MaxOrigins streams to each target and returns the size of the message in
// bytes.
func (s *Socket) SendOrigins(statement streamorigin.Statement, targets []fleetstate.Peer) int {
	datagram, err := encodeOrigins(statement)
	if err != nil {
		s.logUnsent("origins", 0, err)
		return 0
	}
	for _, target := range targets {
		s.send("origins", datagram, target.Address)
	}
	return len(datagram)
}

// send sends a datagram. It logs one that cannot be sent and does not repeat it, since the next message contains the
// same counts.
func (s *Socket) send(kind string, datagram []byte, address string) {
	if len(datagram) > maxDatagramBytes {
		s.logUnsent(kind, len(datagram), errors.New("too large"))
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.lg.Warn("fleet message not sent", "message", kind, "peer", address, "error", err.Error())
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.lg.Debug("fleet message not sent", "message", kind, "peer", address, "error", err.Error())
	}
}

func (s *Socket) logUnsent(kind string, bytes int, err error) {
	s.lg.Error("fleet message not sent", "message", kind, "bytes", bytes, "error", err.Error())
}

// Receive passes each received message to the handler and returns after Close.
func (s *Socket) Receive(handler Handler) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of unreachable peers surface as read errors
		}
		_ = contain.Run(s.lg, "handle fleet message", func() { s.handle(buffer[:n], from, handler) })
	}
}

// handle decodes a datagram and passes its message on. It logs the first malformed datagram and then every
// malformedLogInterval-th.
func (s *Socket) handle(datagram []byte, from netip.AddrPort, handler Handler) {
	decoded, err := decode(datagram)
	switch {
	case err != nil:
		if n := s.malformed.Add(1); n%malformedLogInterval == 1 {
			s.lg.Warn("fleet message cannot be decoded", "peer", from.String(), "bytes", len(datagram), "malformed", n, "error", err.Error())
		}
	case decoded.report != nil:
		handler.Report(*decoded.report)
	case decoded.summary != nil:
		handler.Summary(*decoded.summary)
	case decoded.origins != nil:
		handler.Origins(*decoded.origins)
	default:
		handler.Digest(*decoded.digest)
	}
}

// malformedLogInterval is the number of malformed datagrams per log line.
const malformedLogInterval = 1000

// Close closes the socket and ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
