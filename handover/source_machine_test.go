package handover

import (
	"reflect"
	"testing"
	"time"

	"knapweedhoist/request"
)

var (
	modelID = request.ID{Incarnation: sourceName, Sequence: 1}
	plainID = request.ID{Incarnation: sourceName, Sequence: 2}
)

func depart(m *SourceMachine, peers ...Peer) []Action {
	return m.Handle(start, Departure{ReleaseAt: start.Add(releaseAfter), EndAt: start.Add(endAfter), Peers: peers})
}

func expectActions(t *testing.T, got []Action, want ...Action) {
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

// Guards against copies in a distant data centre while a nearer one has live peers.
func TestNearestPeerIsChosenFirst(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	expectActions(t, depart(m, far, Peer{Incarnation: sourceName}, near), Announce{})
	expectActions(t, m.Handle(start, Track{ID: modelID, Repeatable: true}), SendCopy{ID: modelID, Peer: peerName, Epoch: 1})
	expectActions(t, m.Handle(start, PeerLost{Peer: peerName}), MarkPeerMayRun{ID: modelID},
		SendDrop{Peer: peerName, IDs: []request.ID{modelID}}, Hold{ID: modelID},
		SendCopy{ID: modelID, Peer: otherName, Epoch: 2})
}

// Guards against callers that wait for copies when there is no peer to copy to, and
// against requests without an outcome when the instance ends.
func TestWithoutPeerTheInstanceServesOn(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m)
	expectActions(t, m.Handle(start, Track{ID: modelID, Repeatable: true}), Unhold{ID: modelID})
	expectActions(t, m.Handle(start.Add(releaseAfter), Tick{}), Unhold{ID: modelID})
	got := m.Handle(start.Add(endAfter), Tick{})
	if !reflect.DeepEqual(got[len(got)-1], Finish{ID: modelID}) || !m.Done() {
		t.Fatalf("got %+v, want Finish as the last action, and then Done", got)
	}
}

// Guards against a sent call that must not be repeated and that a peer runs again:
// the source keeps it until a second signal ends it.
func TestSentCallStaysAndSecondSignalEndsIt(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m, near)
	m.Handle(start, Track{ID: modelID, Repeatable: true})
	m.Handle(start, Track{ID: plainID})
	expectActions(t, m.Handle(start, Copied{ID: modelID, Epoch: 1, UpTo: 3}),
		Announce{Successor: peerName}, Deliver{ID: modelID, UpTo: 3})
	m.Handle(start, Copied{ID: plainID, Epoch: 1})
	expectActions(t, m.Handle(start.Add(releaseAfter), Tick{}), Move{ID: modelID}, Move{ID: plainID, OnlyUnsent: true})
	expectActions(t, m.Handle(start.Add(releaseAfter), Moved{ID: modelID, OK: true}),
		SendRelease{Peer: peerName, Epoch: 1, IDs: []request.ID{modelID}})
	expectActions(t, m.Handle(start.Add(releaseAfter), Moved{ID: plainID}))
	expectActions(t, m.Handle(start.Add(releaseAfter), Released{Epoch: 1, IDs: []request.ID{modelID}, OK: true}))
	expectActions(t, m.Handle(start.Add(releaseAfter), Tick{}))
	expectActions(t, m.Handle(start.Add(releaseAfter), SecondSignal{}), Finish{ID: plainID})
	if !m.Done() {
		t.Fatal("Done returned false after the last request, want true")
	}
}

// Guards against an unsent call that two peers may send because the answer to its
// sendable copy was lost.
func TestRightToSendIsGivenOnce(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m, near, far)
	m.Handle(start, Track{ID: plainID})
	m.Handle(start, Copied{ID: plainID, Epoch: 1})
	m.Handle(start.Add(releaseAfter), Tick{})
	expectActions(t, m.Handle(start.Add(releaseAfter), Moved{ID: plainID, OK: true}),
		SendCopy{ID: plainID, Peer: peerName, Epoch: 1, Sendable: true})
	got := m.Handle(start.Add(releaseAfter), Copied{ID: plainID, Epoch: 1, Result: CopyUnanswered})
	want := SendCopy{ID: plainID, Peer: otherName, Epoch: 2}
	if !reflect.DeepEqual(got[len(got)-1], want) {
		t.Fatalf("got %+v, want as the last action a copy for the other peer that is not sendable", got)
	}
}

// Guards against a second departure with an earlier end of the drain that does not
// shorten it.
func TestNoticeDuringStopShortensTheDrain(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m, near)
	m.Handle(start, Track{ID: modelID, Repeatable: true})
	m.Handle(start, Copied{ID: modelID, Epoch: 1})
	m.Handle(start, Departure{ReleaseAt: start.Add(time.Second), EndAt: start.Add(time.Hour)})
	expectActions(t, m.Handle(start.Add(time.Second), Tick{}), Move{ID: modelID})
}

// Guards against a request without an owner after a release to a peer without a
// copy: a late announcement of another successor made the peer remove the copy.
func TestReleaseWithoutCopySendsTheCopyAgain(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m, near)
	m.Handle(start, Track{ID: modelID, Repeatable: true})
	m.Handle(start, Copied{ID: modelID, Epoch: 1, UpTo: 3})
	m.Handle(start.Add(releaseAfter), Tick{})
	m.Handle(start.Add(releaseAfter), Moved{ID: modelID, OK: true})
	expectActions(t, m.Handle(start.Add(releaseAfter), Released{Epoch: 1, IDs: []request.ID{modelID}, CopyMissing: true}),
		SendCopy{ID: modelID, Peer: peerName, Epoch: 1})
	expectActions(t, m.Handle(start.Add(releaseAfter), Copied{ID: modelID, Epoch: 1, UpTo: 3}),
		SendRelease{Peer: peerName, Epoch: 1, IDs: []request.ID{modelID}})
}

// Guards against a finished request that callers cannot find at the announced
// successor: it is copied to a peer that joins later, and to the next peer when the
// current one is lost.
func TestFinishedRequestGoesToEachPeer(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m)
	m.Handle(start, Track{ID: modelID, Repeatable: true})
	expectActions(t, m.Handle(start, Progress{ID: modelID, Events: 3, Finished: true}), Unhold{ID: modelID})
	expectActions(t, m.Handle(start, PeersChanged{Peers: []Peer{near, far}}),
		Hold{ID: modelID}, SendCopy{ID: modelID, Peer: peerName, Epoch: 2})
	expectActions(t, m.Handle(start, Copied{ID: modelID, Epoch: 2, UpTo: 3}),
		Announce{Successor: peerName}, Deliver{ID: modelID, UpTo: 3})
	if !m.Done() {
		t.Fatal("Done returned false after the last request, want true")
	}
	expectActions(t, m.Handle(start, PeerLost{Peer: peerName}),
		Announce{}, Hold{ID: modelID}, SendCopy{ID: modelID, Peer: otherName, Epoch: 3})
}

// Guards against a departure record that no longer names the peer that owns the
// released requests after that peer was lost.
func TestLostPeerStaysTheSuccessorOfWhatItOwns(t *testing.T) {
	m := NewSourceMachine(sourceName, newReporter())
	depart(m, near, far)
	m.Handle(start, Track{ID: modelID, Repeatable: true})
	m.Handle(start, Copied{ID: modelID, Epoch: 1})
	m.Handle(start.Add(releaseAfter), Tick{})
	m.Handle(start.Add(releaseAfter), Moved{ID: modelID, OK: true})
	m.Handle(start.Add(releaseAfter), Released{Epoch: 1, IDs: []request.ID{modelID}, OK: true})
	expectActions(t, m.Handle(start.Add(releaseAfter), PeerLost{Peer: peerName}))
	other := request.ID{Incarnation: sourceName, Sequence: 3}
	expectActions(t, m.Handle(start.Add(releaseAfter), Track{ID: other, Repeatable: true}),
		Announce{}, Hold{ID: other}, SendCopy{ID: other, Peer: otherName, Epoch: 2})
}
