package simulator

import (
	"context"
	"dykeledge/internal/protocol"
	"dykeledge/internal/transport"
	"fmt"
	"slices"
	"strings"
	"time"
)

// AddMachine brings a machine up at once.
func (w *Simulation) AddMachine(zone string, spot bool) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.newMachine(w.Catalog.Types[0].Name, zone, spot)
	w.boot(m, 0)
	return m
}

func (w *Simulation) newMachine(ty, zone string, spot bool) *Machine {
	w.names++
	m := &Machine{Name: fmt.Sprintf("host-%06d", w.names), Zone: zone, Type: ty, Spot: spot, machineType: w.typeOf(ty),
		Addr: fmt.Sprintf("10.1.0.%d:9000", w.names), wakeUp: make(chan struct{}, 1), provisionedAt: time.Now(), images: map[string]time.Time{}}
	if w.Listen != nil {
		m.Addr = w.Listen(m)
	}
	w.machines[m.Name] = m
	return m
}

type cloudLink struct {
	simulation *Simulation
	controller *ControllerProcess
	budget     *transport.Budget // nil: none
}

// cloudTimeout is how long a controller waits for the cloud.
const cloudTimeout = 10 * time.Second

func (l *cloudLink) wait() error {
	l.controller.pause()
	time.Sleep(50 * time.Millisecond)
	if l.budget != nil {
		if err := l.budget.Wait(l.simulation.ctx, 1, 0); err != nil {
			return protocol.ErrRefused
		}
	}
	l.simulation.mu.Lock()
	l.simulation.CloudCalls++
	over := l.simulation.Store.Limited && !l.simulation.cloudRate.take(1)
	if over {
		l.simulation.CloudOver++
	}
	down := l.simulation.cloudDown
	l.simulation.mu.Unlock()
	if over {
		return errOverRate
	}
	if down {
		return protocol.ErrRefused
	}
	if l.controller.ended() || l.controller.cut(NoCloud) {
		time.Sleep(5 * time.Second)
		return protocol.ErrUnknown
	}
	return nil
}

// Catalog returns the machine types.
func (l *cloudLink) Catalog(context.Context) (*protocol.Catalog, error) {
	if err := l.wait(); err != nil {
		return nil, err
	}
	c := l.simulation.Catalog
	return &c, nil
}

// ScaleOut rents machines; now and then the answer gets lost.
func (l *cloudLink) ScaleOut(_ context.Context, scaleOutRequest protocol.ScaleOutRequest) ([]string, error) {
	if err := l.wait(); err != nil {
		return nil, err
	}
	sim := l.simulation
	if sim.LateScaleOuts != nil {
		if d := sim.LateScaleOuts(); d > 0 {
			go func() {
				time.Sleep(d)
				_, _ = sim.scaleOut(scaleOutRequest) // nobody waits for it any more
			}()
			time.Sleep(2 * time.Second)
			return nil, protocol.ErrUnknown
		}
	}
	began := time.Now()
	names, err := sim.scaleOut(scaleOutRequest)
	if l.controller.stalledThrough(began, cloudTimeout) {
		return nil, protocol.ErrUnknown
	}
	return names, err
}

func (w *Simulation) scaleOut(scaleOutRequest protocol.ScaleOutRequest) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, ok := w.requestNames[scaleOutRequest.Name]; ok {
		return names, nil
	}
	have := 0
	for _, m := range w.machines {
		if !m.gone {
			have++
		}
	}
	n := min(scaleOutRequest.Count, w.CapacityOf-have)
	if n <= 0 || !slices.Contains(w.typeOf(scaleOutRequest.Type).Zones, scaleOutRequest.Zone) {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range n {
		machine := w.newMachine(scaleOutRequest.Type, scaleOutRequest.Zone, scaleOutRequest.Spot)
		names = append(names, machine.Name)
		boot := w.fast(seconds(machine.machineType.BootS * (0.5 + w.Random.Float64())))
		switch p := w.Random.Float64(); {
		case w.Boot != nil:
			boot = w.Boot()
		case p < w.NeverBoots:
			boot = 0
		case p < w.NeverBoots+w.LateBoots:
			boot *= 4
		}
		if boot > 0 {
			w.boot(machine, boot)
		}
	}
	w.requestNames[scaleOutRequest.Name] = names
	if w.Random.IntN(4) == 0 {
		return nil, protocol.ErrUnknown
	}
	return names, nil
}

// ScaleIn takes machines back.
func (l *cloudLink) ScaleIn(_ context.Context, names []string) error {
	if err := l.wait(); err != nil {
		return err
	}
	began := time.Now()
	l.simulation.mu.Lock()
	for _, n := range names {
		if m := l.simulation.machines[n]; m != nil {
			if !m.gone {
				l.simulation.remove(m)
				l.simulation.charge(m)
			}
			m.failed = time.Time{} // a failed one is listed until now
		}
	}
	l.simulation.mu.Unlock()
	if l.controller.stalledThrough(began, cloudTimeout) {
		return protocol.ErrUnknown
	}
	return nil
}

// List lists the machines, as they were a while ago.
func (l *cloudLink) List(_ context.Context, after string) (protocol.MachineList, error) {
	var out protocol.MachineList
	if err := l.wait(); err != nil {
		return out, err
	}
	lag := seconds(l.simulation.Settings.Deployment.Cloud.ListLagS)
	if l.simulation.ListLag != nil {
		lag = l.simulation.ListLag()
	}
	l.simulation.mu.Lock()
	defer l.simulation.mu.Unlock()
	for _, m := range l.simulation.machines {
		if m.Name > after && (!m.gone || !m.failed.IsZero()) && time.Since(m.provisionedAt) > lag {
			st := "booting"
			switch {
			case !m.failed.IsZero() && time.Since(m.failed) > failsShown:
				st = "failed"
			case m.up:
				st = "running"
			}
			out.Machines = append(out.Machines, protocol.CloudMachine{ID: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
				Spot: m.Spot, Status: st, AgeS: time.Since(m.provisionedAt).Seconds()})
		}
	}
	slices.SortFunc(out.Machines, func(a, b protocol.CloudMachine) int { return strings.Compare(a.ID, b.ID) })
	if out.More = len(out.Machines) > protocol.MaxList; out.More {
		out.Machines = out.Machines[:protocol.MaxList]
	}
	return out, nil
}

// failsShown is how long a machine that died goes on being listed as running.
const failsShown = 30 * time.Second

// leastCharged is what a machine that is returned costs at least.
const leastCharged = time.Minute

// charge adds up what a machine has cost, once it is gone.
func (w *Simulation) charge(m *Machine) {
	held := time.Since(m.provisionedAt)
	if m.failed.IsZero() {
		held = max(held, leastCharged)
	}
	w.costSpent += held.Hours() * m.price()
}

func (m *Machine) price() float64 {
	if m.Spot {
		return m.machineType.SpotPrice
	}
	return m.machineType.Price
}

// CostSpent is what all machines have cost so far, at the catalog's prices; those that are
// still there are charged up to now.
func (w *Simulation) CostSpent() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.costSpent
	for _, m := range w.machines {
		if !m.gone {
			sum += time.Since(m.provisionedAt).Hours() * m.price()
		}
	}
	return sum
}

// LimitCloud makes the cloud enforce its rate, where the store enforces its own.
func (w *Simulation) LimitCloud(rps float64) { w.cloudRate = bucket{rate: rps, burst: 2 * rps} }

// SetCloudDown begins or ends an outage of the cloud.
func (w *Simulation) SetCloudDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudDown = down
}

func (w *Simulation) typeOf(name string) protocol.MachineType {
	for _, t := range w.Catalog.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}
