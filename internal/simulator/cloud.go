package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

const (
	// failureListingDelay is how long a machine that died goes on being listed as running.
	failureListingDelay = 30 * time.Second
	// minimumChargedTime is what a machine that is returned costs at least.
	minimumChargedTime = time.Minute
	// lateBootFactor is how many times as long as usual a late machine takes to come up.
	lateBootFactor = 4
	// scaleOutAnswersPerLoss is how many rentals there are for one whose answer gets lost, on average.
	scaleOutAnswersPerLoss = 4
	// defaultCapacity is how many machines can be rented unless a test says otherwise.
	defaultCapacity = 6
)

// simulatedCloud rents machines out and takes them back.
type simulatedCloud struct {
	machines              map[string]*Machine
	machineCount          int                 // ever rented
	machineNamesByRequest map[string][]string // by rental request: the machines that it got
	cloudBucket           bucket
	cloudDown             bool
	costSpent             float64

	// Catalog lists the machine types that can be rented.
	Catalog protocol.Catalog
	// CapacityOf is how many machines can be rented in all.
	CapacityOf int
	// CloudCalls and CloudOver count the cloud's requests, and those over its rate,
	// where the store enforces its own.
	CloudCalls, CloudOver int
	// Boot, if set, is how long a rented machine takes to come up; 0: it never does.
	Boot func() time.Duration
	// LateBoots and NeverBoots are the parts of the rented machines that take four times as long
	// as usual to come up, and that never do.
	LateBoots, NeverBoots float64
	// ListLag, if set, is how old the machine list is.
	ListLag func() time.Duration
}

func newSimulatedCloud(cfg *config.Settings) simulatedCloud {
	return simulatedCloud{
		machines:              map[string]*Machine{},
		machineNamesByRequest: map[string][]string{},
		CapacityOf:            defaultCapacity,
		Catalog: protocol.Catalog{Types: []protocol.MachineType{{Name: "t16", Cpus: 16, MemGB: 64, CacheGB: 30, FetchGBs: 0.5,
			Price: 1, SpotPrice: 0.3, BootS: 10, Zones: cfg.Deployment.Zones}}},
	}
}

// typeOf is the machine type of a name; an empty one where the catalog has none.
func (c *simulatedCloud) typeOf(name string) protocol.MachineType {
	for _, t := range c.Catalog.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

// admit counts a request, and tells why the cloud refuses it, if it does.
func (c *simulatedCloud) admit(limited bool) error {
	c.CloudCalls++
	switch {
	case limited && !c.cloudBucket.take(1):
		c.CloudOver++
		return errOverRate
	case c.cloudDown:
		return protocol.ErrRefused
	}
	return nil
}

// available is how many machines can still be rented.
func (c *simulatedCloud) available() int {
	left := c.CapacityOf
	for _, m := range c.machines {
		if !m.gone {
			left--
		}
	}
	return left
}

// newMachine rents a machine of a type; its worker starts later.
func (c *simulatedCloud) newMachine(typeName, zone string, spot bool) *Machine {
	c.machineCount++
	m := &Machine{Name: fmt.Sprintf("host-%06d", c.machineCount), Zone: zone, Type: typeName, Spot: spot, machineType: c.typeOf(typeName),
		Addr: fmt.Sprintf("10.1.0.%d:9000", c.machineCount), wakeUp: make(chan struct{}, 1), provisionedAt: time.Now(), images: map[string]time.Time{}}
	c.machines[m.Name] = m
	return m
}

// machineAt is the running machine whose worker listens at an address, nil if there is none.
func (c *simulatedCloud) machineAt(addr string) (found *Machine) {
	for _, m := range c.machines {
		if m.Addr == addr && m.isRunning() {
			found = m
		}
	}
	return found
}

// bootTime is how long a rented machine takes to come up, given how long one of its type usually takes; 0: it never does.
func (c *simulatedCloud) bootTime(usual time.Duration, random *Source) time.Duration {
	switch chance := random.Float64(); {
	case c.Boot != nil:
		return c.Boot()
	case chance < c.NeverBoots:
		return 0
	case chance < c.NeverBoots+c.LateBoots:
		return usual * lateBootFactor
	}
	return usual
}

// charge adds up what a machine has cost, once it is gone.
func (c *simulatedCloud) charge(m *Machine) {
	rented := time.Since(m.provisionedAt)
	if m.failed.IsZero() {
		rented = max(rented, minimumChargedTime)
	}
	c.costSpent += rented.Hours() * m.price()
}

func (m *Machine) price() float64 {
	if m.Spot {
		return m.machineType.SpotPrice
	}
	return m.machineType.Price
}

// list lists the machines after a name that are at least so old, in the order of their names.
func (c *simulatedCloud) list(after string, lag time.Duration) (list protocol.MachineList) {
	for _, m := range c.machines {
		if m.Name > after && (!m.gone || !m.failed.IsZero()) && time.Since(m.provisionedAt) > lag {
			list.Machines = append(list.Machines, protocol.CloudMachine{ID: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
				Spot: m.Spot, Status: m.listedStatus(), AgeS: time.Since(m.provisionedAt).Seconds()})
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.CloudMachine) int { return strings.Compare(a.ID, b.ID) })
	if list.More = len(list.Machines) > protocol.MaxList; list.More {
		list.Machines = list.Machines[:protocol.MaxList]
	}
	return list
}

func (m *Machine) listedStatus() string {
	switch {
	case !m.failed.IsZero() && time.Since(m.failed) > failureListingDelay:
		return "failed"
	case m.up:
		return "running"
	}
	return "booting"
}

// AddMachine brings a machine up at once.
func (sim *Simulation) AddMachine(zone string, spot bool) *Machine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.rent(sim.Catalog.Types[0].Name, zone, spot)
	sim.startWorker(m, 0)
	return m
}

// rent rents a machine, and has its worker listen where workers have ports.
func (sim *Simulation) rent(typeName, zone string, spot bool) *Machine {
	m := sim.newMachine(typeName, zone, spot)
	if sim.Listen != nil {
		m.Addr = sim.Listen(m)
	}
	return m
}

// scaleOut rents machines for a request; repeated, it tells the same machines again. Now and then the answer gets lost.
func (sim *Simulation) scaleOut(request protocol.ScaleOutRequest) ([]string, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if names, ok := sim.machineNamesByRequest[request.Name]; ok {
		return names, nil
	}
	count := min(request.Count, sim.available())
	if count <= 0 || !slices.Contains(sim.typeOf(request.Type).Zones, request.Zone) {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range count {
		machine := sim.rent(request.Type, request.Zone, request.Spot)
		names = append(names, machine.Name)
		usual := sim.scaledTime(seconds(machine.machineType.BootS * (0.5 + sim.Random.Float64())))
		if boot := sim.bootTime(usual, sim.Random); boot > 0 {
			sim.startWorker(machine, boot)
		}
	}
	sim.machineNamesByRequest[request.Name] = names
	if sim.Random.IntN(scaleOutAnswersPerLoss) == 0 {
		return nil, protocol.ErrUnknown
	}
	return names, nil
}

// scaleIn takes machines back.
func (sim *Simulation) scaleIn(names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, name := range names {
		m := sim.machines[name]
		if m == nil {
			continue
		}
		if !m.gone {
			sim.removeMachine(m)
			sim.charge(m)
		}
		m.failed = time.Time{} // a failed one is listed until now
	}
}

// CostSpent is what all machines have cost so far, at the catalog's prices; those that are
// still there are charged up to now.
func (sim *Simulation) CostSpent() float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sum := sim.costSpent
	for _, m := range sim.machines {
		if !m.gone {
			sum += time.Since(m.provisionedAt).Hours() * m.price()
		}
	}
	return sum
}

// Machines lists the machines that are running, by name.
func (sim *Simulation) Machines() []*Machine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var running []*Machine
	for _, m := range sim.machines {
		if m.isRunning() {
			running = append(running, m)
		}
	}
	slices.SortFunc(running, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	return running
}

// LimitCloud makes the cloud enforce its rate, where the store enforces its own.
func (sim *Simulation) LimitCloud(rps float64) { sim.cloudBucket = bucket{rate: rps, burst: 2 * rps} }

// SetCloudDown begins or ends an outage of the cloud.
func (sim *Simulation) SetCloudDown(down bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloudDown = down
}
