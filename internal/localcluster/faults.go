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

// play injects the faults, each at its time, and returns when all have ended or ctx ends. A fault that is active when
// ctx ends is not undone.
func (s *Schedule) play(ctx context.Context, cluster *Cluster, log *slog.Logger) {
	began := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	for i := range s.Faults {
		fault := &s.Faults[i]
		if !wait.Until(ctx, began.Add(seconds(fault.AtS))) {
			return
		}
		log.Info("fault begins", "kind", fault.Kind, "controller", fault.Node, "for_s", fault.ForS, "part", fault.Part)
		end := fault.begin(cluster)
		if end == nil {
			continue
		}
		ends.Go(func() {
			if wait.For(ctx, seconds(fault.ForS)) {
				end()
				log.Info("fault ends", "kind", fault.Kind, "controller", fault.Node)
			}
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// begin injects a fault and returns a function that ends it, or nil if the fault has no end.
func (f *Fault) begin(cluster *Cluster) (end func()) {
	need := kinds[f.Kind]
	switch {
	case need.controller:
		return f.beginOnControllers(cluster)
	case need.machines:
		return f.beginOnMachines(cluster.Simulation)
	}
	return f.beginOnServices(cluster.Simulation)
}

// beginOnControllers injects a fault into one controller or all.
func (f *Fault) beginOnControllers(cluster *Cluster) (end func()) {
	simulation := cluster.Simulation
	each := func(do func(i int)) {
		for i := range cluster.processes {
			if named := controllerIndex(f.Node); named == allControllers || named == i {
				do(i)
			}
		}
	}
	switch f.Kind {
	case kindCrash:
		each(func(i int) { cluster.processes[i].kill() })
	case kindStill:
		each(func(i int) { cluster.processes[i].stop() })
		return func() { each(func(i int) { cluster.processes[i].resume() }) }
	case kindCut:
		cuts := f.cuts()
		each(func(i int) { simulation.Controller(i).Cut(cuts) })
		return func() { each(func(i int) { simulation.Controller(i).Cut(0) }) }
	case kindRefuse:
		each(func(i int) { simulation.Store.Deny(simulation.Controller(i).Name, true) })
		return func() { each(func(i int) { simulation.Store.Deny(simulation.Controller(i).Name, false) }) }
	}
	return nil
}

// cuts returns the connections that a network partition severs: those that the fault names, or all if it names none.
func (f *Fault) cuts() simulator.Cuts {
	if len(f.From) == 0 {
		return simulator.AllCut | simulator.NoPeers
	}
	var cuts simulator.Cuts
	for _, name := range f.From {
		cuts |= cutsByName[name]
	}
	return cuts
}

// beginOnServices injects an outage of a service, or partitions a zone from all others.
func (f *Fault) beginOnServices(simulation *simulator.Simulation) (end func()) {
	switch f.Kind {
	case kindOutage:
		simulation.Store.SetDown(true)
		return func() { simulation.Store.SetDown(false) }
	case kindCloudOutage:
		simulation.SetCloudDown(true)
		return func() { simulation.SetCloudDown(false) }
	case kindZoneCut:
		simulation.PartitionZone(f.Zone)
		return func() { simulation.PartitionZone("") }
	}
	return nil
}

// beginOnMachines injects a fault into the machines that it applies to.
func (f *Fault) beginOnMachines(simulation *simulator.Simulation) (end func()) {
	met := f.meets(simulation)
	each := func(do func(*simulator.Machine)) {
		for _, machine := range met {
			do(machine)
		}
	}
	switchOnAndOff := func(change func(on bool) func(*simulator.Machine)) func() {
		each(func(machine *simulator.Machine) { simulation.Set(machine, change(true)) })
		return func() {
			each(func(machine *simulator.Machine) { simulation.Set(machine, change(false)) })
		}
	}
	switch f.Kind {
	case kindTaken:
		each(func(machine *simulator.Machine) {
			simulation.Set(machine, simulator.PreemptionNotice(seconds(f.NoticeS)))
		})
	case kindMachineDies:
		each(simulation.Die)
	case kindMachineHangs:
		return switchOnAndOff(simulator.HangingMachine)
	case kindMachineSick:
		return switchOnAndOff(simulator.UnhealthyMachine)
	case kindMachineCut:
		return switchOnAndOff(simulator.CutOff)
	}
	return nil
}

// meets chooses the machines that a fault applies to: Count machines with adjacent names,
// or each machine with the probability Part.
func (f *Fault) meets(simulation *simulator.Simulation) []*simulator.Machine {
	var candidates []*simulator.Machine
	for _, machine := range simulation.Machines() {
		if (f.Zone == "" || f.Zone == machine.Zone) && (f.Kind != kindTaken || machine.Spot) {
			candidates = append(candidates, machine)
		}
	}
	if f.Count > 0 {
		from := simulation.Random.IntN(max(1, len(candidates)-f.Count+1))
		return candidates[from:min(len(candidates), from+f.Count)]
	}
	return slices.DeleteFunc(candidates, func(*simulator.Machine) bool { return simulation.Random.Float64() >= f.Part })
}
