package soak

import "time"

// breakSessions reports broken sessions to the peers of an instance that has ended. Peers that are cut off and a
// quarter of the others receive no reset.
func (w *world) breakSessions(ended *instance) {
	for _, peer := range w.instances {
		if peer.ended || w.net.cut(peer.dc, ended.dc) || w.rng.Intn(4) == 0 {
			continue
		}
		w.after(w.net.delay(), func() {
			peer.do(func() { peer.target.SessionBroken(w.now, ended.incarnation) })
		})
	}
}

// scheduleReclaim publishes a reclaim notice; the cloud ends the instance when the notice period is over.
func (w *world) scheduleReclaim(in *instance, noticePeriod time.Duration) {
	endsAt := w.now.Add(noticePeriod)
	w.notices = append(w.notices, cloudNotice{id: in.id, endsAt: endsAt})
	w.after(noticePeriod, func() {
		if !in.ended {
			in.killed = in.killed || !in.leaving
			w.end(in)
		}
	})
}

func (w *world) randomNoticePeriod() time.Duration {
	return w.randomDuration(6*time.Second, 40*time.Second)
}

func (w *world) reclaimInstance() {
	if in := w.anyInstance(); in != nil {
		w.count("entry instance reclaimed")
		w.scheduleReclaim(in, w.randomNoticePeriod())
	}
}

// leavingInstance returns a random running instance whose departure is in progress, nil if there is none.
func (w *world) leavingInstance() *instance {
	return w.pick(func(in *instance) bool { return in.awake() && in.leaving && in.stoppedAt.IsZero() })
}

// reclaimSuccessor reclaims the peer that holds the copies of a leaving instance.
func (w *world) reclaimSuccessor() {
	in := w.leavingInstance()
	if in == nil {
		return
	}
	successor := w.pick(func(other *instance) bool { return other.incarnation == in.source.Successor() && other.awake() })
	if successor != nil && !successor.leaving {
		w.count("successor reclaimed")
		w.scheduleReclaim(successor, w.randomNoticePeriod())
	}
}

// killLeavingInstance kills an instance during its departure, which may be before its handover; the label in the summary
// names only the handover.
func (w *world) killLeavingInstance() {
	if in := w.leavingInstance(); in != nil {
		w.count("instance died partway through its handover")
		w.kill(in)
	}
}

func (w *world) stopInstance() {
	if in := w.anyInstance(); in != nil {
		w.count("planned stop")
		in.stop()
	}
}

func (w *world) sendSecondSignal() {
	if in := w.leavingInstance(); in != nil {
		w.count("second signal")
		in.secondSignal = true
		in.source.SecondSignal(w.now)
	}
}

// reclaimAllInstances reclaims, at random times within 30 s, every instance that is not leaving by then. The reclaimed ones
// end within a minute.
func (w *world) reclaimAllInstances() {
	w.count("all instances replaced within a minute")
	for _, in := range w.instances {
		if in.ended || in.leaving {
			continue
		}
		w.after(w.randomDuration(0, 30*time.Second), func() {
			if !in.ended && !in.leaving {
				w.scheduleReclaim(in, w.randomDuration(10*time.Second, 30*time.Second))
			}
		})
	}
}
