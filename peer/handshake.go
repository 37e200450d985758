package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"time"
)

// Handshake: the client sends the version and a nonce; the server answers
// with its nonce and its proof; the client answers with its proof. A proof is
// an HMAC over a label and both nonces, so that neither side can reflect or
// replay the other's.
const (
	protocolVersion = "kwh1"
	nonceBytes      = 32
	labelServer     = "server"
	labelClient     = "client"
	labelSession    = "session"
)

// sessionKeys is the key of the frames of one session.
type sessionKeys [sha256.Size]byte

func clientHandshake(conn net.Conn, key []byte, timeout time.Duration) (sessionKeys, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return sessionKeys{}, err
	}
	hello := newNonces(protocolVersion)
	if _, err := conn.Write(hello); err != nil {
		return sessionKeys{}, err
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return sessionKeys{}, fmt.Errorf("reading the server's proof: %w", err)
	}
	nonces := append(hello[len(protocolVersion):], reply[:nonceBytes]...)
	if !hmac.Equal(reply[nonceBytes:], proof(key, labelServer, nonces)) {
		return sessionKeys{}, errorsJoin(ErrAuthentication, "the server does not have the fleet's key")
	}
	if _, err := conn.Write(proof(key, labelClient, nonces)); err != nil {
		return sessionKeys{}, err
	}
	return sessionKeys(proof(key, labelSession, nonces)), conn.SetDeadline(time.Time{})
}

func serverHandshake(conn net.Conn, key []byte, timeout time.Duration) (sessionKeys, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return sessionKeys{}, err
	}
	hello := make([]byte, len(protocolVersion)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return sessionKeys{}, err
	}
	if string(hello[:len(protocolVersion)]) != protocolVersion {
		return sessionKeys{}, errorsJoin(ErrProtocol, "unknown protocol version")
	}
	own := newNonces("")
	nonces := append(hello[len(protocolVersion):], own...)
	if _, err := conn.Write(append(own, proof(key, labelServer, nonces)...)); err != nil {
		return sessionKeys{}, err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return sessionKeys{}, err
	}
	if !hmac.Equal(answer, proof(key, labelClient, nonces)) {
		return sessionKeys{}, errorsJoin(ErrAuthentication, "the client does not have the fleet's key")
	}
	return sessionKeys(proof(key, labelSession, nonces)), conn.SetDeadline(time.Time{})
}

func newNonces(prefix string) []byte {
	message := make([]byte, len(prefix)+nonceBytes)
	copy(message, prefix)
	_, _ = rand.Read(message[len(prefix):]) // never fails
	return message
}

func proof(key []byte, label string, nonces []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(nonces)
	return mac.Sum(nil)
}
