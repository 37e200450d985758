package hoistctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/samber/oops"

	"knapweedhoist/operator"
)

// Failure is the error of a command: the failed step, the address or file
// concerned, the cause, the next action for the operator, and the exit status.
type Failure struct {
	Step   string `json:"step"`
	Peer   string `json:"peer"`
	Detail string `json:"detail"`
	// Next is the next action for the operator.
	Next     string             `json:"next"`
	Exit     int                `json:"exit"`
	Conflict *operator.Conflict `json:"conflict,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s at %s: %s", f.Step, f.Peer, f.Detail)
}

// newFailure returns f as an error that carries its step and peer as attributes.
func newFailure(f Failure) error {
	return oops.With("step", f.Step, "peer", f.Peer).Wrap(&f)
}

// failureOf returns the Failure that err wraps. Any other error becomes a Failure
// of the step hoistctl/run at peer, with ExitFailed.
func failureOf(err error, peer string) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Step: "hoistctl/run", Peer: peer, Detail: err.Error(), Next: "run the command with --help", Exit: ExitFailed,
	}
}

// print writes the failure as text.
func (f *Failure) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "hoistctl: %s failed at %s: %s\n", f.Step, f.Peer, f.Detail)
	if f.Conflict != nil {
		printConflict(w, f.Conflict)
	}
	if f.Next != "" {
		_, _ = fmt.Fprintf(w, "next: %s\n", f.Next)
	}
}

// printConflict prints what the other operator changed, and how the refused change
// differs from the item after that.
func printConflict(w io.Writer, c *operator.Conflict) {
	_, _ = fmt.Fprintf(w, "your base is revision %d, the current revision is %d\n", c.Base, c.Current)
	_, _ = fmt.Fprintf(w, "theirs (%s, revision %d):\n", c.Theirs.Operator, c.Theirs.Revision)
	printDiff(w, c.Theirs.Before, c.Theirs.After)
	_, _ = fmt.Fprintln(w, "yours, compared with theirs:")
	printDiff(w, c.Theirs.After, c.Yours)
}
