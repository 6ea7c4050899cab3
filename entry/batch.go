package entry

import (
	"context"

	"github.com/sardinerock/sardinerock"
)

// IdleSlots implements sardinerock.BatchRunner; it returns 0 during shutdown.
func (e *Entry) IdleSlots() int {
	if e.isLeaving() {
		return 0
	}
	return e.sides.BatchCredit()
}

// RunItem implements sardinerock.BatchRunner. It makes one attempt, since the owner of the job decides on retries.
func (e *Entry) RunItem(ctx context.Context, item *sardinerock.Request) (sardinerock.Result, string, error) {
	r, err := e.handler.NewRequest(item.Caller, item.Path, item.Body)
	if err != nil {
		return sardinerock.Result{}, "", err
	}
	r.ID, r.Key, r.Class, r.Deadline = item.ID, item.Key, item.Class, item.Deadline
	*item = *r
	var text []byte
	collect := func(t sardinerock.Token) error {
		text = append(text, t.Text...)
		return nil
	}
	x := &execution{entry: e, request: r, emit: collect, outcome: sardinerock.OutcomeNotRun, attempts: 1}
	result, f := x.attempt(ctx)
	if f != nil {
		return result, "", f.refusal
	}
	return result, string(text), nil
}
