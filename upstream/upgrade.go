package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// errNotUpgraded means that a server did not hand the connection over.
var errNotUpgraded = errors.New("connection not handed over")

// DialUpgraded returns a Config.Dial that opens a TCP connection and asks the HTTP server there to hand it over to the protocol
// that it serves at path.
func DialUpgraded(path, protocol string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		if err := upgrade(ctx, conn, address, path, protocol); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// upgrade makes the request for path and reads the response, behind which the server sends nothing before the next request.
func upgrade(ctx context.Context, conn net.Conn, address, path, protocol string) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", path, address, protocol)
	if _, err := conn.Write([]byte(request)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %d", errNotUpgraded, response.StatusCode)
	}
	return conn.SetDeadline(time.Time{})
}
