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
	// failureListingDelay is how long the machine list keeps showing a machine that died as running.
	failureListingDelay = 30 * time.Second
	// minimumChargedTime is the shortest time charged for a machine that did not die.
	minimumChargedTime = time.Minute
	// lateBootFactor is the factor by which the boot time of a late machine exceeds the usual one.
	lateBootFactor = 4
	// scaleOutAnswersPerLoss is the average number of scale-out requests per lost answer.
	scaleOutAnswersPerLoss = 4
	// defaultCapacity is the number of machines that the cloud has, unless a test sets another one.
	defaultCapacity = 6
)

// simulatedCloud simulates the cloud: it rents machines out, takes them back and adds up their cost.
type simulatedCloud struct {
	machines              map[string]*Machine
	machineCount          int                 // machines ever rented; numbers the next one
	machineNamesByRequest map[string][]string // names of the rented machines, by the request's name
	cloudBucket           tokenBucket
	cloudDown             bool
	costSpent             float64

	// Catalog lists the machine types that can be rented.
	Catalog protocol.Catalog
	// Capacity is the number of machines that can be rented at the same time.
	Capacity int
	// CloudRequests counts requests to the cloud. CloudOverRate counts those that were refused because of the rate limit,
	// which is enforced if the store enforces its own.
	CloudRequests, CloudOverRate int
	// BootTimeOf, if set, returns the boot time of a rented machine. 0: the machine never boots.
	BootTimeOf func() time.Duration
	// LateBootFraction and NeverBootFraction are the fractions of rented machines that take four times the usual time to boot,
	// and that never boot.
	LateBootFraction, NeverBootFraction float64
	// ListLag, if set, returns the age of the machine list.
	ListLag func() time.Duration
}

func newSimulatedCloud(cfg *config.Settings) simulatedCloud {
	return simulatedCloud{
		machines:              map[string]*Machine{},
		machineNamesByRequest: map[string][]string{},
		Capacity:              defaultCapacity,
		Catalog: protocol.Catalog{Types: []protocol.MachineType{{Name: "t16", Cpus: 16, MemGB: 64, CacheGB: 30, FetchGBs: 0.5,
			Price: 1, SpotPrice: 0.3, BootS: 10, Zones: cfg.Deployment.Zones}}},
	}
}

// typeOf returns the machine type with a name, or an empty type if the catalog has none.
func (c *simulatedCloud) typeOf(name string) protocol.MachineType {
	for _, t := range c.Catalog.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

// admit counts a request, and returns an error if the cloud refuses it. The rate limit applies if limited is set.
func (c *simulatedCloud) admit(limited bool) error {
	c.CloudRequests++
	switch {
	case limited && !c.cloudBucket.take(1):
		c.CloudOverRate++
		return errOverRate
	case c.cloudDown:
		return protocol.ErrRefused
	}
	return nil
}

// available returns the number of machines that can still be rented.
func (c *simulatedCloud) available() int {
	left := c.Capacity
	for _, m := range c.machines {
		if !m.gone {
			left--
		}
	}
	return left
}

// newMachine adds a machine of a type; its worker is started separately.
func (c *simulatedCloud) newMachine(typeName, zone string, spot bool) *Machine {
	c.machineCount++
	m := &Machine{Name: fmt.Sprintf("host-%06d", c.machineCount), Zone: zone, Type: typeName, Spot: spot, machineType: c.typeOf(typeName),
		Addr: fmt.Sprintf("10.1.0.%d:9000", c.machineCount), wakeUp: make(chan struct{}, 1), provisionedAt: time.Now(), imageStore: newImageStore()}
	c.machines[m.Name] = m
	return m
}

// machineAt returns the running machine whose worker listens at an address, or nil.
func (c *simulatedCloud) machineAt(addr string) (found *Machine) {
	for _, m := range c.machines {
		if m.Addr == addr && m.isRunning() {
			found = m
		}
	}
	return found
}

// bootTime returns how long a rented machine takes to boot, given the usual time. 0: it never boots.
func (c *simulatedCloud) bootTime(usual time.Duration, random *Source) time.Duration {
	switch chance := random.Float64(); {
	case c.BootTimeOf != nil:
		return c.BootTimeOf()
	case chance < c.NeverBootFraction:
		return 0
	case chance < c.NeverBootFraction+c.LateBootFraction:
		return usual * lateBootFactor
	}
	return usual
}

// charge adds the cost of a machine that is gone. For a machine that died, only the rented time is charged.
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

// list returns a page of the machines after a name, sorted by name. Machines that were rented within the lag are left
// out. Machines that died are listed until they are scaled in.
func (c *simulatedCloud) list(after string, lag time.Duration) (list protocol.MachineList) {
	for _, m := range c.machines {
		if m.Name > after && (!m.gone || !m.failed.IsZero()) && time.Since(m.provisionedAt) > lag {
			list.Machines = append(list.Machines, protocol.CloudMachine{ID: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
				Spot: m.Spot, Status: m.listedStatus(), AgeS: time.Since(m.provisionedAt).Seconds()})
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.CloudMachine) int { return strings.Compare(a.ID, b.ID) })
	if list.More = len(list.Machines) > protocol.MaxMachinesPerPage; list.More {
		list.Machines = list.Machines[:protocol.MaxMachinesPerPage]
	}
	return list
}

func (m *Machine) listedStatus() string {
	switch {
	case !m.failed.IsZero() && time.Since(m.failed) > failureListingDelay:
		return "failed"
	case m.booted:
		return "running"
	}
	return "booting"
}

// AddMachine adds a machine and starts its worker at once.
func (sim *Simulation) AddMachine(zone string, spot bool) *Machine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.rent(sim.Catalog.Types[0].Name, zone, spot)
	sim.startWorker(m, 0)
	return m
}

// rent adds a machine, and sets its worker's address if workers listen on ports.
func (sim *Simulation) rent(typeName, zone string, spot bool) *Machine {
	m := sim.newMachine(typeName, zone, spot)
	if sim.ListenForWorker != nil {
		m.Addr = sim.ListenForWorker(m)
	}
	return m
}

// scaleOut rents machines for a request. A repeated request returns the same machines. One answer in
// scaleOutAnswersPerLoss is lost on average: the machines are rented and protocol.ErrOutcomeUnknown is returned.
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
		return nil, protocol.ErrOutcomeUnknown
	}
	return names, nil
}

// scaleIn returns machines to the cloud.
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
		m.failed = time.Time{} // a machine that died is listed until it is scaled in
	}
}

// CostSpent returns the cost of all machines so far at the catalog's prices. Machines that are not gone are charged
// up to now.
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

// Machines returns the running machines, sorted by name.
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

// LimitCloud sets the cloud's limit in requests per second. The limit is enforced if the store enforces its own.
func (sim *Simulation) LimitCloud(rps float64) {
	sim.cloudBucket = tokenBucket{rate: rps, burst: 2 * rps}
}

// SetCloudDown begins or ends an outage of the cloud.
func (sim *Simulation) SetCloudDown(down bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloudDown = down
}
