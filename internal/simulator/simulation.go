package simulator

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"dykeledge/internal/config"
)

// Simulation is a simulated deployment: the controllers and everything that they depend on. Each embedded part has
// its own state. The mutex guards the state of all parts except the store, since most events change several parts
// at once. The parts' methods are called with the mutex held, unless their comments say otherwise.
type Simulation struct {
	StartTime time.Time
	Settings  *config.Settings
	Store     *Store
	Random    *Source
	Log       *slog.Logger

	//nolint:containedctx // the context ends everything that the simulation starts
	ctx context.Context
	mu  sync.Mutex

	controllerSet
	network
	simulatedCloud
	workerSet
	submissions
	ruleChecker
	counters
}

// NewSimulation returns a simulation that runs until ctx ends.
func NewSimulation(ctx context.Context, cfg *config.Settings, seed uint64) *Simulation {
	start := time.Now()
	sim := &Simulation{
		StartTime:      start,
		Settings:       cfg,
		Store:          NewStore(),
		Random:         newSource(seed),
		Log:            slog.New(slog.NewTextHandler(io.Discard, nil)),
		ctx:            ctx,
		simulatedCloud: newSimulatedCloud(cfg),
		submissions:    newSubmissions(),
		ruleChecker:    newRuleChecker(start, cfg),
		counters:       newCounters(),
	}
	sim.Store.AfterApply = newRecordChecker(sim).note
	return sim
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
