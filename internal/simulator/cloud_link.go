package simulator

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/transport"
)

// cloudLink is one controller's connection to the simulated cloud.
type cloudLink struct {
	simulation *Simulation
	controller *ControllerProcess
	budget     *transport.Budget // limits the request rate; nil: no limit
}

const (
	// cloudTimeout is how long a controller waits for the cloud's answer.
	cloudTimeout = 10 * time.Second
	// cloudLatency is how long a request takes.
	cloudLatency = 50 * time.Millisecond
	// cloudPartitionDelay is how long a request takes to fail if it cannot reach the cloud.
	cloudPartitionDelay = 5 * time.Second
	// lateScaleOutWait is how long a controller waits for a scale-out that the cloud carries out late.
	lateScaleOutWait = 2 * time.Second
)

// admitRequest admits a request to the cloud, or returns the error with which it fails.
func (l *cloudLink) admitRequest() error {
	l.controller.waitWhileStalled()
	time.Sleep(cloudLatency)
	sim := l.simulation
	if l.budget != nil {
		if err := l.budget.Wait(sim.ctx, 1, 0); err != nil {
			return protocol.ErrRefused
		}
	}
	sim.mu.Lock()
	err := sim.admit(sim.Store.Limited)
	sim.mu.Unlock()
	if err != nil {
		return err
	}
	if l.controller.ended() || l.controller.isPartitionedFrom(NoCloud) {
		time.Sleep(cloudPartitionDelay)
		return protocol.ErrOutcomeUnknown
	}
	return nil
}

// Catalog returns the machine types.
func (l *cloudLink) Catalog(context.Context) (*protocol.Catalog, error) {
	if err := l.admitRequest(); err != nil {
		return nil, err
	}
	catalog := l.simulation.Catalog
	return &catalog, nil
}

// ScaleOut rents machines. The answer may be lost.
func (l *cloudLink) ScaleOut(_ context.Context, request protocol.ScaleOutRequest) ([]string, error) {
	if err := l.admitRequest(); err != nil {
		return nil, err
	}
	sim := l.simulation
	if sim.LateScaleOuts != nil {
		if delay := sim.LateScaleOuts(); delay > 0 {
			go func() {
				time.Sleep(delay)
				_, _ = sim.scaleOut(request) // the caller has already returned
			}()
			time.Sleep(lateScaleOutWait)
			return nil, protocol.ErrOutcomeUnknown
		}
	}
	began := time.Now()
	names, err := sim.scaleOut(request)
	if l.controller.stalledThrough(began, cloudTimeout) {
		return nil, protocol.ErrOutcomeUnknown
	}
	return names, err
}

// ScaleIn returns machines to the cloud.
func (l *cloudLink) ScaleIn(_ context.Context, names []string) error {
	if err := l.admitRequest(); err != nil {
		return err
	}
	began := time.Now()
	l.simulation.scaleIn(names)
	if l.controller.stalledThrough(began, cloudTimeout) {
		return protocol.ErrOutcomeUnknown
	}
	return nil
}

// List returns the machines after a name. The list is out of date by the list lag.
func (l *cloudLink) List(_ context.Context, after string) (protocol.MachineList, error) {
	if err := l.admitRequest(); err != nil {
		return protocol.MachineList{}, err
	}
	sim := l.simulation
	lag := seconds(sim.Settings.Deployment.Cloud.ListLagS)
	if sim.ListLag != nil {
		lag = sim.ListLag()
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.list(after, lag), nil
}
