package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"dykeledge/internal/controller"
)

// modelCell is a cell whose answers and whose evictions go as they are drawn. counts is the limit that counts in it.
type modelCell struct {
	t       *rapid.T
	name    string
	view    controller.TeamView
	counts  float64
	check   func()
	calls   int
	aborted context.CancelFunc
}

var errLost = errors.New("the answer is lost")

// event draws what befalls a call: nothing, a lost request, a lost answer, or the end of the one who moves.
func (c *modelCell) event() string {
	c.calls++
	if c.calls > 40 {
		return "" // a run of losses ends
	}
	return rapid.SampledFrom([]string{"", "", "", "request lost", "answer lost", "ends"}).Draw(c.t, c.name)
}

func (c *modelCell) Team(string) (controller.TeamView, error) {
	switch c.event() {
	case "request lost", "answer lost":
		return controller.TeamView{}, errLost
	case "ends":
		c.aborted()
		return controller.TeamView{}, errLost
	}
	if c.view.State == controller.TeamLowering && rapid.Bool().Draw(c.t, "kept") {
		c.counts, c.view.State = c.view.CpusMax, controller.TeamInForce
		c.check()
	}
	return c.view, nil
}

func (c *modelCell) Change(_ string, version uint64, change json.RawMessage) (controller.TeamView, error) {
	event := c.event()
	if event == "request lost" {
		return controller.TeamView{}, errLost
	}
	if version != c.view.Version {
		return controller.TeamView{}, controller.ErrVersionConflict
	}
	var to struct {
		CpusMax float64 `json:"cpus_max"`
	}
	if err := json.Unmarshal(change, &to); err != nil {
		c.t.Fatal(err)
	}
	c.view.CpusMax, c.view.Version, c.view.State = to.CpusMax, version+1, controller.TeamInForce
	if to.CpusMax < c.counts {
		c.view.State = controller.TeamLowering
	} else {
		c.counts = to.CpusMax
	}
	c.check()
	if event != "" {
		return controller.TeamView{}, errLost
	}
	return c.view, nil
}

// TestMovesNeverAddUpToMore moves parts of a limit between two cells, any number of times and both ways, while requests and answers
// get lost and moves end at any step: the limits that count in the cells add up to no more than the total at any time.
func TestMovesNeverAddUpToMore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const total = 100.0
		first, second := &modelCell{t: rt, name: "a", counts: 60}, &modelCell{t: rt, name: "b", counts: 40}
		for _, c := range []*modelCell{first, second} {
			c.view = controller.TeamView{State: controller.TeamFromFile}
			c.view.CpusMax = c.counts
			c.check = func() {
				if first.counts+second.counts > total {
					rt.Fatalf("limits of %g and %g count", first.counts, second.counts)
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "moves") {
			from, to := first, second
			if rapid.Bool().Draw(rt, "back") {
				from, to = second, first
			}
			ctx, cancel := context.WithCancel(t.Context())
			first.aborted, second.aborted, first.calls, second.calls = cancel, cancel, 0, 0
			cpus, before := float64(rapid.IntRange(1, 50).Draw(rt, "cpus")), [2]float64{from.view.CpusMax, to.view.CpusMax}
			err := moveLimit(ctx, from, to, "red", cpus, 0, io.Discard)
			cancel()
			// The other cell's limit may still be being lowered by an earlier move that ended: then it is lowered less.
			if err == nil && (from.view.State != controller.TeamInForce || from.counts != before[0]-cpus || to.view.CpusMax != before[1]+cpus) {
				rt.Fatalf("moved %g, but from %v to limits of %g (%s) and %g", cpus, before, from.counts, from.view.State, to.view.CpusMax)
			}
		}
	})
}
