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
	t            *rapid.T
	name         string
	view         controller.TeamView
	limitInForce float64
	checkTotal   func()
	calls        int
	cancelMove   context.CancelFunc
}

var errCallLost = errors.New("the answer is lost")

// drawFault draws what befalls a call: nothing, a lost request, a lost answer, or the end of the one who moves.
func (c *modelCell) drawFault() string {
	c.calls++
	if c.calls > 40 {
		return "" // a run of losses ends
	}
	return rapid.SampledFrom([]string{"", "", "", "request lost", "answer lost", "ends"}).Draw(c.t, c.name)
}

func (c *modelCell) Team(string) (controller.TeamView, error) {
	switch c.drawFault() {
	case "request lost", "answer lost":
		return controller.TeamView{}, errCallLost
	case "ends":
		c.cancelMove()
		return controller.TeamView{}, errCallLost
	}
	if c.view.State == controller.TeamLowering && rapid.Bool().Draw(c.t, "kept") {
		c.limitInForce, c.view.State = c.view.CpusMax, controller.TeamInForce
		c.checkTotal()
	}
	return c.view, nil
}

func (c *modelCell) Change(_ string, version uint64, change json.RawMessage) (controller.TeamView, error) {
	event := c.drawFault()
	if event == "request lost" {
		return controller.TeamView{}, errCallLost
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
	if to.CpusMax < c.limitInForce {
		c.view.State = controller.TeamLowering
	} else {
		c.limitInForce = to.CpusMax
	}
	c.checkTotal()
	if event != "" {
		return controller.TeamView{}, errCallLost
	}
	return c.view, nil
}

// TestMoveLimitKeepsTotal moves parts of a limit between two cells, any number of times and both ways, while requests and answers
// get lost and moves end at any step: the limits that count in the cells add up to no more than the total at any time.
func TestMoveLimitKeepsTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const total = 100.0
		first, second := &modelCell{t: rt, name: "a", limitInForce: 60}, &modelCell{t: rt, name: "b", limitInForce: 40}
		for _, c := range []*modelCell{first, second} {
			c.view = controller.TeamView{State: controller.TeamFromFile}
			c.view.CpusMax = c.limitInForce
			c.checkTotal = func() {
				if first.limitInForce+second.limitInForce > total {
					rt.Fatalf("limits of %g and %g count", first.limitInForce, second.limitInForce)
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "moves") {
			from, to := first, second
			if rapid.Bool().Draw(rt, "back") {
				from, to = second, first
			}
			ctx, cancel := context.WithCancel(t.Context())
			first.cancelMove, second.cancelMove, first.calls, second.calls = cancel, cancel, 0, 0
			cpus, before := float64(rapid.IntRange(1, 50).Draw(rt, "cpus")), [2]float64{from.view.CpusMax, to.view.CpusMax}
			err := moveLimit(ctx, from, to, "red", cpus, 0, io.Discard)
			cancel()
			// The other cell's limit may still be being lowered by an earlier move that ended: then it is lowered less.
			if err == nil && (from.view.State != controller.TeamInForce || from.limitInForce != before[0]-cpus || to.view.CpusMax != before[1]+cpus) {
				rt.Fatalf("moved %g, but from %v to limits of %g (%s) and %g", cpus, before, from.limitInForce, from.view.State, to.view.CpusMax)
			}
		}
	})
}
