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

// Handshake: the client sends the protocol version and a nonce, the server
// answers with its nonce and its proof, and the client sends its proof. A
// proof is an HMAC over a label and both nonces, so that neither side can
// reflect or replay the proof of the other side. The session key is the HMAC
// over labelSession and both nonces.
const (
	protocolVersion = "kwh1"
	nonceBytes      = 32
	labelServer     = "server"
	labelClient     = "client"
	labelSession    = "session"
)

// sessionKey is the HMAC key that authenticates the frames of one session.
type sessionKey [sha256.Size]byte

func clientHandshake(conn net.Conn, key []byte, timeout time.Duration) (sessionKey, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return sessionKey{}, err
	}
	hello := newNonceMessage(protocolVersion)
	if _, err := conn.Write(hello); err != nil {
		return sessionKey{}, err
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return sessionKey{}, fmt.Errorf("reading the server's proof: %w", err)
	}
	nonces := append(hello[len(protocolVersion):], reply[:nonceBytes]...)
	if !hmac.Equal(reply[nonceBytes:], proof(key, labelServer, nonces)) {
		return sessionKey{}, withDetail(ErrAuthentication, "the server does not have the fleet's key")
	}
	if _, err := conn.Write(proof(key, labelClient, nonces)); err != nil {
		return sessionKey{}, err
	}
	return sessionKey(proof(key, labelSession, nonces)), conn.SetDeadline(time.Time{})
}

func serverHandshake(conn net.Conn, key []byte, timeout time.Duration) (sessionKey, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return sessionKey{}, err
	}
	hello := make([]byte, len(protocolVersion)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return sessionKey{}, err
	}
	if string(hello[:len(protocolVersion)]) != protocolVersion {
		return sessionKey{}, withDetail(ErrProtocol, "unknown protocol version")
	}
	serverNonce := newNonceMessage("")
	nonces := append(hello[len(protocolVersion):], serverNonce...)
	if _, err := conn.Write(append(serverNonce, proof(key, labelServer, nonces)...)); err != nil {
		return sessionKey{}, err
	}
	clientProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, clientProof); err != nil {
		return sessionKey{}, err
	}
	if !hmac.Equal(clientProof, proof(key, labelClient, nonces)) {
		return sessionKey{}, withDetail(ErrAuthentication, "the client does not have the fleet's key")
	}
	return sessionKey(proof(key, labelSession, nonces)), conn.SetDeadline(time.Time{})
}

// newNonceMessage returns prefix followed by a new random nonce.
func newNonceMessage(prefix string) []byte {
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
