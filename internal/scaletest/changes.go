package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"dykeledge/internal/wait"
)

// Timing and mix of configuration changes.
const (
	requestTimeout      = 5 * time.Second        // time-out of one request to the administration API
	inForcePollInterval = 100 * time.Millisecond // interval between polls of a change's state
	inForceTimeout      = 60 * time.Second       // a change that is not in force after this time has failed
	changesPerLowering  = 10                     // one change of 10 lowers a limit, the others change a guarantee
)

// operators simulates operators who change the guarantees and limits of teams through the administration API at the
// profile's rate, and measures the time until a change is in force on all controllers of the cell.
type operators struct {
	controllers []string // addresses of the administration API
	teams       []team
	rand        *rand.Rand

	mu                sync.Mutex
	measureStart      time.Time               // start of the measured time; while it is zero, changes are not counted
	guaranteeTimes    *hdrhistogram.Histogram // time until a changed guarantee was in force
	loweredLimitTimes *hdrhistogram.Histogram // time until a lowered limit was in force
	changesMade       int
	changesFailed     int // changes that were not in force within inForceTimeout
}

// newOperators returns simulated operators who change the teams of a cell through the controllers at these addresses.
func newOperators(c *Cell, controllers []string) *operators {
	return &operators{controllers: controllers, teams: c.teams(), rand: rand.New(rand.NewPCG(c.Seed, changesRandomStream)), guaranteeTimes: newHistogram(), loweredLimitTimes: newHistogram()}
}

// changesRandomStream selects a random stream for changes that differs from those of the jobs.
const changesRandomStream = 1 << 20

// run makes changes at a rate until ctx ends. A change does not wait for earlier ones.
func (o *operators) run(ctx context.Context, perSecond float64) {
	var changes sync.WaitGroup
	defer changes.Wait()
	for n := 1; wait.For(ctx, seconds(1/perSecond)); n++ {
		target, address := o.teams[o.rand.IntN(len(o.teams))], o.controllers[o.rand.IntN(len(o.controllers))]
		changes.Go(func() { o.makeChange(ctx, address, target, n%changesPerLowering == 0) })
	}
}

// teamEntry is a team in a response of the administration API.
type teamEntry struct {
	Cpus    float64 `json:"cpus"`
	CpusMax float64 `json:"cpus_max"`
	Version uint64  `json:"version"`
	State   string  `json:"state"`
}

// inForce is the value of teamEntry.State when all controllers apply the change.
const inForce = "in force"

// makeChange makes a change and polls it until it is in force. A lowered limit is restored afterwards, but not the
// guarantee, which the lowering sets to 0.
func (o *operators) makeChange(ctx context.Context, address string, target team, lowers bool) {
	took, err := o.change(ctx, address, target.name, func(entry teamEntry) map[string]float64 {
		if lowers && entry.CpusMax > 2 {
			return map[string]float64{"cpus_max": entry.CpusMax - 1, "cpus": 0}
		}
		return map[string]float64{"cpus": float64(int(entry.Cpus+1) % int(max(1, entry.CpusMax)))}
	})
	if ctx.Err() != nil {
		return
	}
	o.recordChange(took, lowers, err)
	if lowers && err == nil {
		_, _ = o.change(ctx, address, target.name, func(teamEntry) map[string]float64 { // restores the limit; this change is not measured
			return map[string]float64{"cpus_max": target.limit}
		})
	}
}

// recordChange records a change if the measured time has begun.
func (o *operators) recordChange(took time.Duration, lowers bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.measureStart.IsZero() {
		return
	}
	o.changesMade++
	switch {
	case err != nil:
		o.changesFailed++
	case lowers:
		record(o.loweredLimitTimes, took)
	default:
		record(o.guaranteeTimes, took)
	}
}

// errNotInForce means that a change was not in force within inForceTimeout, or that the context ended first.
var errNotInForce = errors.New("the change was not in force in time")

// change reads a team, changes it on condition that its version is still the one read, and waits until the change is in
// force. A failed request is retried at the next controller. The duration it returns counts from the first try.
func (o *operators) change(ctx context.Context, address, name string, to func(teamEntry) map[string]float64) (time.Duration, error) {
	began, version := time.Now(), uint64(0)
	for time.Since(began) < inForceTimeout && ctx.Err() == nil {
		entry, err := readTeam(address, name)
		switch {
		case err == nil && version > 0 && entry.Version >= version && entry.State == inForce:
			return time.Since(began), nil
		case err == nil && version == 0:
			version, err = putTeam(address, name, entry.Version, to(entry))
		}
		if err != nil {
			address = o.nextController(address)
		}
		wait.For(ctx, inForcePollInterval)
	}
	return 0, errNotInForce
}

// nextController returns the address of the controller after the one at address.
func (o *operators) nextController(address string) string {
	for i, controller := range o.controllers {
		if controller == address {
			return o.controllers[(i+1)%len(o.controllers)]
		}
	}
	return address
}

// teamPath returns the URL of a team in the administration API.
func teamPath(address, name string) string {
	return "http://" + address + "/admin/v1/teams/" + url.PathEscape(name)
}

// readTeam reads a team from the controller at address.
func readTeam(address, name string) (teamEntry, error) {
	var entry teamEntry
	status, body, err := fasthttp.GetTimeout(nil, teamPath(address, name), requestTimeout)
	if err != nil {
		return entry, err
	}
	if status != fasthttp.StatusOK {
		return entry, fmt.Errorf("team %s: status %d", name, status)
	}
	err = json.Unmarshal(body, &entry)
	return entry, err
}

// putTeam changes a team on condition that version is its current version, and returns the new version.
func putTeam(address, name string, version uint64, to map[string]float64) (uint64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	raw, err := json.Marshal(struct {
		Version uint64             `json:"version"`
		Team    map[string]float64 `json:"team"`
	}{version, to})
	if err != nil {
		return 0, err
	}
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(teamPath(address, name))
	request.SetBodyRaw(raw)
	if err := fasthttp.DoTimeout(request, response, requestTimeout); err != nil {
		return 0, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, fmt.Errorf("team %s: status %d", name, response.StatusCode())
	}
	var entry teamEntry
	if err := json.Unmarshal(response.Body(), &entry); err != nil {
		return 0, err
	}
	return entry.Version, nil
}
