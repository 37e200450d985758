package gossip

import (
	"errors"
	"log/slog"
	"net"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// maxDatagramBytes is the size in bytes above which an encoded report is not sent.
const maxDatagramBytes = 60 << 10

// Socket sends and receives reports over UDP. It is safe for concurrent use.
type Socket struct {
	lg   *slog.Logger
	conn *net.UDPConn
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

// Send sends a report to each address. It logs a report that cannot be sent and does not repeat it, since the next
// report carries the totals again.
func (s *Socket) Send(report Report, addresses []string) {
	datagram, err := proto.Marshal(report.message())
	if err != nil || len(datagram) > maxDatagramBytes {
		s.lg.Error("report not sent, it cannot be encoded or is too large", "bytes", len(datagram), "error", err)
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			s.lg.Warn("report not sent", "peer", address, "error", err)
			continue
		}
		if _, err := s.conn.WriteToUDP(datagram, to); err != nil {
			s.lg.Debug("report not sent", "peer", address, "error", err)
		}
	}
}

// Receive passes each received report to handle and returns after Close.
func (s *Socket) Receive(handle func(Report)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of unreachable peers surface as read errors
		}
		message := &wire.InstanceReport{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			s.lg.Warn("report cannot be decoded", "peer", from.String(), "error", err)
			continue
		}
		handle(decodeReport(message))
	}
}

// Close closes the socket and ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
