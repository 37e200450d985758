// Package gossip encodes the messages of package fleetstate and exchanges them between entry instances as UDP datagrams.
// A lost datagram is not repeated: the next message contains the same counts. A datagram that was changed on the way, cut
// or sent by another program is dropped.
package gossip
