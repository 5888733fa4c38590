package scaletest

import (
	"log/slog"
	"os"
	"time"

	"dykeledge/internal/localcluster"
	"dykeledge/internal/simulator"
)

// controllerSample holds the counters of one controller at one moment.
type controllerSample struct {
	pid      int // 0 if no process runs
	usage    processUsage
	counters counters // from the controller's metrics
	scraped  bool     // the metrics could be read

	reads, txns, leases, watches int64 // requests to the state service
	stateIn, stateOut, peerBytes int64
}

// sample holds the counters of a cell at one moment.
type sample struct {
	at          time.Time
	controllers []controllerSample
	hollow      processUsage // of the hollow side, see the package comment
	stats       simulator.Stats
	heartbeats  traffic // heartbeats of all workers, and the responses
	commands    traffic // direct commands to all workers, and the responses
}

// traffic holds the counters of a meter: bytes in both directions, and messages.
type traffic struct{ in, out, messages int64 }

// readMeter returns the current counters of a meter.
func readMeter(m *simulator.Meter) traffic {
	return traffic{m.In.Load(), m.Out.Load(), m.Messages.Load()}
}

func (w traffic) plus(o traffic) traffic {
	return traffic{w.in + o.in, w.out + o.out, w.messages + o.messages}
}

// takeSample samples a cell. Figures of a controller that can't be read are left out and logged.
func takeSample(cluster *localcluster.Cluster, log *slog.Logger) sample {
	result := sample{at: time.Now(), stats: cluster.Simulation.Stats(), commands: readMeter(&cluster.Simulation.Commands)}
	var err error
	if result.hollow, err = usageOf(os.Getpid()); err != nil {
		log.Warn("reading the resource usage of the hollow side failed", "err", err)
	}
	for i, pid := range cluster.Pids() {
		meters := cluster.Meters[i]
		controller := controllerSample{pid: pid, reads: meters.Requests.Reads.Load(), txns: meters.Requests.Transactions.Load(), leases: meters.Requests.Leases.Load(),
			watches: meters.Requests.Watches.Load(), stateIn: meters.State.In.Load(), stateOut: meters.State.Out.Load(), peerBytes: meters.Peers.In.Load() + meters.Peers.Out.Load()}
		if controller.usage, err = usageOf(pid); err != nil {
			log.Warn("reading the resource usage of a controller failed", "controller", i+1, "err", err)
		}
		if controller.counters, err = scrape(cluster.Controllers[i]); err != nil {
			log.Warn("scraping the metrics of a controller failed", "controller", i+1, "err", err)
		}
		controller.scraped = err == nil
		result.controllers = append(result.controllers, controller)
		result.heartbeats = result.heartbeats.plus(readMeter(&cluster.Simulation.Controller(i).HeartbeatMeter))
	}
	return result
}

// peaks holds the peak resource usage of a controller over all samples.
type peaks struct {
	memMB   float64
	sockets int
	threads int
}

func (p *peaks) update(u processUsage) {
	p.memMB, p.sockets, p.threads = max(p.memMB, u.memMB), max(p.sockets, u.sockets), max(p.threads, u.threads)
}

// controllerUsage computes the resource usage of a controller between two samples.
func controllerUsage(name string, before, after controllerSample, peak peaks, took time.Duration) ControllerPoint {
	rate := func(from, to float64) float64 { return max(0, to-from) / took.Seconds() }
	countRate := func(from, to int64) float64 { return rate(float64(from), float64(to)) }
	return ControllerPoint{Name: name, Role: after.counters.role(), Shards: after.counters.shards,
		Uninterrupted: before.pid == after.pid && before.pid != 0 && before.scraped && after.scraped && before.counters.role() == after.counters.role() && before.counters.shards == after.counters.shards,
		Cores:         rate(before.usage.cpu.Seconds(), after.usage.cpu.Seconds()), PlanCores: rate(before.counters.planning, after.counters.planning),
		MemMB: peak.memMB, Sockets: peak.sockets, Threads: peak.threads,
		HeartbeatsS: rate(before.counters.heartbeats, after.counters.heartbeats), LaunchesS: rate(before.counters.launches, after.counters.launches),
		ReadsS: countRate(before.reads, after.reads), TxnsS: countRate(before.txns, after.txns), LeasesS: countRate(before.leases, after.leases), WatchesS: countRate(before.watches, after.watches),
		StateInS: countRate(before.stateIn, after.stateIn), StateOutS: countRate(before.stateOut, after.stateOut),
		CloudS: rate(before.counters.cloud, after.counters.cloud), PeerBytesS: countRate(before.peerBytes, after.peerBytes)}
}
