package localcluster

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dykeledge/internal/simulator"
	"dykeledge/internal/wait"
)

// run injects the faults, each at its time, and returns when all have ended or ctx ends. A fault that is active when
// ctx ends is not undone.
func (s *Schedule) run(ctx context.Context, cluster *Cluster, log *slog.Logger) {
	began := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	for i := range s.Faults {
		fault := &s.Faults[i]
		if !wait.Until(ctx, began.Add(seconds(fault.AtS))) {
			return
		}
		log.Info("fault begins", "kind", fault.Kind, "controller", fault.Controller, "for_s", fault.DurationS, "part", fault.Fraction)
		end := fault.inject(cluster)
		if end == nil {
			continue
		}
		ends.Go(func() {
			if wait.For(ctx, seconds(fault.DurationS)) {
				end()
				log.Info("fault ends", "kind", fault.Kind, "controller", fault.Controller)
			}
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inject injects a fault and returns a function that ends it, or nil if the fault has no end.
func (f *Fault) inject(cluster *Cluster) (end func()) {
	need := requiredByKind[f.Kind]
	switch {
	case need.controller:
		return f.injectIntoControllers(cluster)
	case need.machines:
		return f.injectIntoMachines(cluster.Simulation)
	}
	return f.injectIntoServices(cluster.Simulation)
}

// injectIntoControllers injects a fault into one controller or all.
func (f *Fault) injectIntoControllers(cluster *Cluster) (end func()) {
	simulation := cluster.Simulation
	each := func(do func(i int)) {
		for i := range cluster.processes {
			if named := controllerIndex(f.Controller); named == allControllers || named == i {
				do(i)
			}
		}
	}
	switch f.Kind {
	case kindCrash:
		each(func(i int) { cluster.processes[i].kill() })
	case kindSuspend:
		each(func(i int) { cluster.processes[i].suspend() })
		return func() { each(func(i int) { cluster.processes[i].resume() }) }
	case kindPartition:
		severed := f.severedConnections()
		each(func(i int) { simulation.Controller(i).SetPartitions(severed) })
		return func() { each(func(i int) { simulation.Controller(i).SetPartitions(0) }) }
	case kindStateRefusal:
		each(func(i int) { simulation.Store.RefuseController(simulation.Controller(i).Name, true) })
		return func() { each(func(i int) { simulation.Store.RefuseController(simulation.Controller(i).Name, false) }) }
	}
	return nil
}

// severedConnections returns the connections that a fault of kind cut severs: those that it names, or all if it names
// none.
func (f *Fault) severedConnections() simulator.Partitions {
	if len(f.Connections) == 0 {
		return simulator.AllPartitions | simulator.NoPeers
	}
	var severed simulator.Partitions
	for _, name := range f.Connections {
		severed |= connectionsByName[name]
	}
	return severed
}

// injectIntoServices injects an outage of a service, or partitions a zone from all others.
func (f *Fault) injectIntoServices(simulation *simulator.Simulation) (end func()) {
	switch f.Kind {
	case kindStateOutage:
		simulation.Store.SetDown(true)
		return func() { simulation.Store.SetDown(false) }
	case kindCloudOutage:
		simulation.SetCloudDown(true)
		return func() { simulation.SetCloudDown(false) }
	case kindZonePartition:
		simulation.PartitionZone(f.Zone)
		return func() { simulation.PartitionZone("") }
	}
	return nil
}

// injectIntoMachines injects a fault into the machines that it applies to.
func (f *Fault) injectIntoMachines(simulation *simulator.Simulation) (end func()) {
	affected := f.affectedMachines(simulation)
	each := func(do func(*simulator.Machine)) {
		for _, machine := range affected {
			do(machine)
		}
	}
	switchOnAndOff := func(change func(on bool) func(*simulator.Machine)) func() {
		each(func(machine *simulator.Machine) { simulation.UpdateMachine(machine, change(true)) })
		return func() {
			each(func(machine *simulator.Machine) { simulation.UpdateMachine(machine, change(false)) })
		}
	}
	switch f.Kind {
	case kindSpotReclaim:
		each(func(machine *simulator.Machine) {
			simulation.UpdateMachine(machine, simulator.PreemptionNotice(seconds(f.NoticeS)))
		})
	case kindMachineDies:
		each(simulation.FailMachine)
	case kindMachineHangs:
		return switchOnAndOff(simulator.HangingMachine)
	case kindMachineUnhealthy:
		return switchOnAndOff(simulator.UnhealthyMachine)
	case kindMachinePartition:
		return switchOnAndOff(simulator.MachinePartition)
	}
	return nil
}

// affectedMachines chooses the machines that a fault applies to: Count machines with adjacent names,
// or each machine with the probability Fraction.
func (f *Fault) affectedMachines(simulation *simulator.Simulation) []*simulator.Machine {
	var candidates []*simulator.Machine
	for _, machine := range simulation.Machines() {
		if (f.Zone == "" || f.Zone == machine.Zone) && (f.Kind != kindSpotReclaim || machine.Spot) {
			candidates = append(candidates, machine)
		}
	}
	if f.Count > 0 {
		from := simulation.Random.IntN(max(1, len(candidates)-f.Count+1))
		return candidates[from:min(len(candidates), from+f.Count)]
	}
	return slices.DeleteFunc(candidates, func(*simulator.Machine) bool { return simulation.Random.Float64() >= f.Fraction })
}
