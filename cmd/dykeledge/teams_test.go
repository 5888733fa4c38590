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

// modelCell is a model of a cell's administration API. Lost requests, lost answers and the time at which a
// lowered limit comes into force are drawn at random.
type modelCell struct {
	t            *rapid.T
	name         string              // label of its draws
	view         controller.TeamView // the team's entry as the API returns it
	limitInForce float64             // in CPUs
	checkTotal   func()              // called after each change of limitInForce
	calls        int                 // in the current move
	cancelMove   context.CancelFunc  // cancels the context of the current move
}

// errCallLost is returned to the caller after any drawn fault.
var errCallLost = errors.New("request or answer lost")

// drawFault draws the fault of a call: none, a lost request, a lost answer, or "ends": the move is cancelled
// (in Change, "ends" has the effect of a lost answer). After 40 calls of a cell in a move there are no more faults.
func (c *modelCell) drawFault() string {
	c.calls++
	if c.calls > 40 {
		return "" // so that a sequence of lost answers ends
	}
	return rapid.SampledFrom([]string{"", "", "", "request lost", "answer lost", "ends"}).Draw(c.t, c.name)
}

// Team returns the entry. A limit that is being lowered may come into force first.
func (c *modelCell) Team(string) (controller.TeamView, error) {
	switch c.drawFault() {
	case "request lost", "answer lost":
		return controller.TeamView{}, errCallLost
	case "ends":
		c.cancelMove()
		return controller.TeamView{}, errCallLost
	}
	if c.view.State == controller.TeamLowering && rapid.Bool().Draw(c.t, "lowered limit in force") {
		c.limitInForce, c.view.State = c.view.CpusMax, controller.TeamInForce
		c.checkTotal()
	}
	return c.view, nil
}

// Change changes the limit if version is that of the entry. A raised limit is in force at once, a lowered one
// only after a later call of Team.
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

// TestMoveLimitKeepsTotal moves parts of a limit between two cells, several times and in both directions, while requests and
// answers are lost and moves are cancelled at any step. The limits in force in the cells must never add up to more than the
// total.
func TestMoveLimitKeepsTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const total = 100.0
		first, second := &modelCell{t: rt, name: "a", limitInForce: 60}, &modelCell{t: rt, name: "b", limitInForce: 40}
		for _, c := range []*modelCell{first, second} {
			c.view = controller.TeamView{State: controller.TeamFromFile}
			c.view.CpusMax = c.limitInForce
			c.checkTotal = func() {
				if first.limitInForce+second.limitInForce > total {
					rt.Fatalf("limits of %g and %g CPUs are in force, together above the total", first.limitInForce, second.limitInForce)
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "moves") {
			from, to := first, second
			if rapid.Bool().Draw(rt, "reverse direction") {
				from, to = second, first
			}
			ctx, cancel := context.WithCancel(t.Context())
			first.cancelMove, second.cancelMove, first.calls, second.calls = cancel, cancel, 0, 0
			cpus, before := float64(rapid.IntRange(1, 50).Draw(rt, "cpus")), [2]float64{from.view.CpusMax, to.view.CpusMax}
			err := moveLimit(ctx, from, to, "red", cpus, 0, io.Discard)
			cancel()
			// The destination's limit may still be being lowered by an earlier move that was cancelled. The raise then
			// only lowers it by less, so its limit in force is not checked.
			if err == nil && (from.view.State != controller.TeamInForce || from.limitInForce != before[0]-cpus || to.view.CpusMax != before[1]+cpus) {
				rt.Fatalf("moved %g CPUs from limits %v, got %g in force (%s) in the source and limit %g in the destination", cpus, before, from.limitInForce, from.view.State, to.view.CpusMax)
			}
		}
	})
}
