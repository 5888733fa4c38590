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
func (w *World) AddMachine(zone string, spot bool) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.newMachine(w.Catalog.Types[0].Name, zone, spot)
	w.boot(m, 0)
	return m
}

func (w *World) newMachine(ty, zone string, spot bool) *Machine {
	w.names++
	m := &Machine{Name: fmt.Sprintf("host-%06d", w.names), Zone: zone, Type: ty, Spot: spot, of: w.typeOf(ty),
		Addr: fmt.Sprintf("10.1.0.%d:9000", w.names), poke: make(chan struct{}, 1), rented: time.Now(), images: map[string]time.Time{}}
	if w.Listen != nil {
		m.Addr = w.Listen(m)
	}
	w.machines[m.Name] = m
	return m
}

type cloudLink struct {
	w      *World
	n      *Node
	budget *transport.Budget // nil: none
}

// cloudTimeout is how long a node waits for the cloud.
const cloudTimeout = 10 * time.Second

func (l *cloudLink) wait() error {
	l.n.pause()
	time.Sleep(50 * time.Millisecond)
	if l.budget != nil {
		if err := l.budget.Wait(l.w.ctx, 1, 0); err != nil {
			return protocol.ErrRefused
		}
	}
	l.w.mu.Lock()
	l.w.CloudCalls++
	over := l.w.Store.Limited && !l.w.cloudRate.take(1)
	if over {
		l.w.CloudOver++
	}
	down := l.w.cloudDown
	l.w.mu.Unlock()
	if over {
		return errOverRate
	}
	if down {
		return protocol.ErrRefused
	}
	if l.n.dead() || l.n.cut(NoCloud) {
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
	c := l.w.Catalog
	return &c, nil
}

// ScaleOut rents machines; now and then the answer gets lost.
func (l *cloudLink) ScaleOut(_ context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	if err := l.wait(); err != nil {
		return nil, err
	}
	w := l.w
	if w.LateRentals != nil {
		if d := w.LateRentals(); d > 0 {
			go func() {
				time.Sleep(d)
				_, _ = w.rent(r) // nobody waits for it any more
			}()
			time.Sleep(2 * time.Second)
			return nil, protocol.ErrUnknown
		}
	}
	began := time.Now()
	names, err := w.rent(r)
	if l.n.overslept(began, cloudTimeout) {
		return nil, protocol.ErrUnknown
	}
	return names, err
}

func (w *World) rent(r protocol.ScaleOutRequest) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, ok := w.charters[r.Name]; ok {
		return names, nil
	}
	have := 0
	for _, m := range w.machines {
		if !m.gone {
			have++
		}
	}
	n := min(r.Count, w.Cap-have)
	if n <= 0 || !slices.Contains(w.typeOf(r.Type).Zones, r.Zone) {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range n {
		m := w.newMachine(r.Type, r.Zone, r.Spot)
		names = append(names, m.Name)
		boot := w.fast(seconds(m.of.BootS * (0.5 + w.Rand.Float64())))
		switch p := w.Rand.Float64(); {
		case w.Boot != nil:
			boot = w.Boot()
		case p < w.NeverBoots:
			boot = 0
		case p < w.NeverBoots+w.LateBoots:
			boot *= 4
		}
		if boot > 0 {
			w.boot(m, boot)
		}
	}
	w.charters[r.Name] = names
	if w.Rand.IntN(4) == 0 {
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
	l.w.mu.Lock()
	for _, n := range names {
		if m := l.w.machines[n]; m != nil {
			if !m.gone {
				l.w.remove(m)
				l.w.charge(m)
			}
			m.failed = time.Time{} // a failed one is listed until now
		}
	}
	l.w.mu.Unlock()
	if l.n.overslept(began, cloudTimeout) {
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
	lag := seconds(l.w.Cfg.Deployment.Cloud.ListLagS)
	if l.w.ListLag != nil {
		lag = l.w.ListLag()
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, m := range l.w.machines {
		if m.Name > after && (!m.gone || !m.failed.IsZero()) && time.Since(m.rented) > lag {
			st := "booting"
			switch {
			case !m.failed.IsZero() && time.Since(m.failed) > failsShown:
				st = "failed"
			case m.up:
				st = "running"
			}
			out.Machines = append(out.Machines, protocol.CloudMachine{ID: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
				Spot: m.Spot, Status: st, AgeS: time.Since(m.rented).Seconds()})
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
func (w *World) charge(m *Machine) {
	held := time.Since(m.rented)
	if m.failed.IsZero() {
		held = max(held, leastCharged)
	}
	w.spent += held.Hours() * m.price()
}

func (m *Machine) price() float64 {
	if m.Spot {
		return m.of.SpotPrice
	}
	return m.of.Price
}

// Spent is what all machines have cost so far, at the catalog's prices; those that are
// still there are charged up to now.
func (w *World) Spent() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.spent
	for _, m := range w.machines {
		if !m.gone {
			sum += time.Since(m.rented).Hours() * m.price()
		}
	}
	return sum
}

// LimitCloud makes the cloud enforce its rate, where the store enforces its own.
func (w *World) LimitCloud(rps float64) { w.cloudRate = bucket{rate: rps, burst: 2 * rps} }

// SetCloudDown begins or ends an outage of the cloud.
func (w *World) SetCloudDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloudDown = down
}

func (w *World) typeOf(name string) protocol.MachineType {
	for _, t := range w.Catalog.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}
