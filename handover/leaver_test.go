package handover

import (
	"reflect"
	"testing"
	"time"

	"knapweedhoist/request"
)

var (
	modelID = request.ID{Incarnation: homeName, Sequence: 1}
	plainID = request.ID{Incarnation: homeName, Sequence: 2}
)

func depart(l *Leaver, peers ...Peer) []Action {
	return l.Handle(start, Departure{ReleaseAt: start.Add(drainEnd), EndAt: start.Add(noticeEnd), Peers: peers})
}

func expect(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

var (
	near = Peer{Incarnation: peerName, Distance: 0}
	far  = Peer{Incarnation: otherName, Distance: 2}
)

// Guards against a copy in a far data centre while a near one has peers.
func TestNearestPeerIsChosenFirst(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	expect(t, depart(l, far, Peer{Incarnation: homeName}, near), Announce{})
	expect(t, l.Handle(start, Track{ID: modelID, Repeatable: true}), SendCopy{ID: modelID, Peer: peerName, Epoch: 1})
	expect(t, l.Handle(start, PeerLost{Peer: peerName}), Doubt{ID: modelID},
		SendDrop{Peer: peerName, IDs: []request.ID{modelID}}, Hold{ID: modelID},
		SendCopy{ID: modelID, Peer: otherName, Epoch: 2})
}

// Guards against callers who wait for copies that no peer takes, and against
// requests without an outcome at the end.
func TestWithoutPeerTheInstanceServesOn(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l)
	expect(t, l.Handle(start, Track{ID: modelID, Repeatable: true}), Unhold{ID: modelID})
	expect(t, l.Handle(start.Add(drainEnd), Tick{}), Unhold{ID: modelID})
	got := l.Handle(start.Add(noticeEnd), Tick{})
	if !reflect.DeepEqual(got[len(got)-1], End{ID: modelID}) || !l.Done() {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a sent call that a peer gets to run: the home keeps it to the
// end. A second signal releases what a peer has, and ends the rest.
func TestSentCallStaysAndSecondSignalEndsIt(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l, near)
	l.Handle(start, Track{ID: modelID, Repeatable: true})
	l.Handle(start, Track{ID: plainID})
	expect(t, l.Handle(start, Copied{ID: modelID, Epoch: 1, UpTo: 3}),
		Announce{Successor: peerName}, Deliver{ID: modelID, UpTo: 3})
	l.Handle(start, Copied{ID: plainID, Epoch: 1})
	expect(t, l.Handle(start.Add(drainEnd), Tick{}), Move{ID: modelID}, Move{ID: plainID, OnlyUnsent: true})
	expect(t, l.Handle(start.Add(drainEnd), Moved{ID: modelID, OK: true}),
		SendRelease{Peer: peerName, Epoch: 1, IDs: []request.ID{modelID}})
	expect(t, l.Handle(start.Add(drainEnd), Moved{ID: plainID}))
	expect(t, l.Handle(start.Add(drainEnd), Released{Epoch: 1, IDs: []request.ID{modelID}, OK: true}))
	expect(t, l.Handle(start.Add(drainEnd), Tick{}))
	expect(t, l.Handle(start.Add(drainEnd), SecondSignal{}), End{ID: plainID})
	if !l.Done() {
		t.Fatal("the handover does not end")
	}
}

// Guards against an unsent call that two peers may send, when the answer to
// its copy is lost.
func TestRightToSendIsGivenOnce(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l, near, far)
	l.Handle(start, Track{ID: plainID})
	l.Handle(start, Copied{ID: plainID, Epoch: 1})
	l.Handle(start.Add(drainEnd), Tick{})
	expect(t, l.Handle(start.Add(drainEnd), Moved{ID: plainID, OK: true}),
		SendCopy{ID: plainID, Peer: peerName, Epoch: 1, Sendable: true})
	got := l.Handle(start.Add(drainEnd), Copied{ID: plainID, Epoch: 1, Err: CopyLost})
	want := SendCopy{ID: plainID, Peer: otherName, Epoch: 2}
	if !reflect.DeepEqual(got[len(got)-1], want) {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a second departure that gives more time than the notice.
func TestNoticeDuringStopShortensTheDrain(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l, near)
	l.Handle(start, Track{ID: modelID, Repeatable: true})
	l.Handle(start, Copied{ID: modelID, Epoch: 1})
	l.Handle(start, Departure{ReleaseAt: start.Add(time.Second), EndAt: start.Add(time.Hour)})
	expect(t, l.Handle(start.Add(time.Second), Tick{}), Move{ID: modelID})
}

// Guards against a release that a peer acknowledges without a copy: a late
// announcement of another successor made it forget the copy.
func TestReleaseWithoutCopySendsTheCopyAgain(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l, near)
	l.Handle(start, Track{ID: modelID, Repeatable: true})
	l.Handle(start, Copied{ID: modelID, Epoch: 1, UpTo: 3})
	l.Handle(start.Add(drainEnd), Tick{})
	l.Handle(start.Add(drainEnd), Moved{ID: modelID, OK: true})
	expect(t, l.Handle(start.Add(drainEnd), Released{Epoch: 1, IDs: []request.ID{modelID}, Missing: true}),
		SendCopy{ID: modelID, Peer: peerName, Epoch: 1})
	expect(t, l.Handle(start.Add(drainEnd), Copied{ID: modelID, Epoch: 1, UpTo: 3}),
		SendRelease{Peer: peerName, Epoch: 1, IDs: []request.ID{modelID}})
}

// Guards against a finished answer that callers cannot find: it goes to a peer
// that appears later, and to the next peer when one is lost.
func TestFinishedRequestGoesToEachPeer(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l)
	l.Handle(start, Track{ID: modelID, Repeatable: true})
	expect(t, l.Handle(start, Progress{ID: modelID, Events: 3, Finished: true}), Unhold{ID: modelID})
	expect(t, l.Handle(start, PeersChanged{Peers: []Peer{near, far}}),
		Hold{ID: modelID}, SendCopy{ID: modelID, Peer: peerName, Epoch: 2})
	expect(t, l.Handle(start, Copied{ID: modelID, Epoch: 2, UpTo: 3}),
		Announce{Successor: peerName}, Deliver{ID: modelID, UpTo: 3})
	if !l.Done() {
		t.Fatal("the handover does not end")
	}
	expect(t, l.Handle(start, PeerLost{Peer: peerName}),
		Announce{}, Hold{ID: modelID}, SendCopy{ID: modelID, Peer: otherName, Epoch: 3})
}

// Guards against a departure record that no longer names the peer to which
// everything was released.
func TestLostPeerStaysTheSuccessorOfWhatItOwns(t *testing.T) {
	l := NewLeaver(homeName, newReporter())
	depart(l, near, far)
	l.Handle(start, Track{ID: modelID, Repeatable: true})
	l.Handle(start, Copied{ID: modelID, Epoch: 1})
	l.Handle(start.Add(drainEnd), Tick{})
	l.Handle(start.Add(drainEnd), Moved{ID: modelID, OK: true})
	l.Handle(start.Add(drainEnd), Released{Epoch: 1, IDs: []request.ID{modelID}, OK: true})
	expect(t, l.Handle(start.Add(drainEnd), PeerLost{Peer: peerName}))
	other := request.ID{Incarnation: homeName, Sequence: 3}
	expect(t, l.Handle(start.Add(drainEnd), Track{ID: other, Repeatable: true}),
		Announce{}, Hold{ID: other}, SendCopy{ID: other, Peer: otherName, Epoch: 2})
}
