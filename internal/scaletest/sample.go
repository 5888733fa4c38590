package scaletest

import (
	"log/slog"
	"os"
	"time"

	"dykeledge/internal/localcluster"
	"dykeledge/internal/simulator"
)

// controllerSample is all that is known of one controller at one moment.
type controllerSample struct {
	pid      int // 0: no process runs
	usage    processUsage
	counters counters
	scraped  bool

	reads, txns, leases, watches int64
	stateIn, stateOut, peerBytes int64
}

// sample is all that is known of a cell at one moment.
type sample struct {
	at          time.Time
	controllers []controllerSample
	hollow      processUsage
	stats       simulator.Stats
	reports     networkBytes
	commands    networkBytes
}

// networkBytes is what a meter has counted.
type networkBytes struct{ in, out, messages int64 }

func read(m *simulator.Meter) networkBytes {
	return networkBytes{m.In.Load(), m.Out.Load(), m.Messages.Load()}
}

func (w networkBytes) plus(o networkBytes) networkBytes {
	return networkBytes{w.in + o.in, w.out + o.out, w.messages + o.messages}
}

// take samples a cell. What a controller does not tell now is left out, and logged.
func take(cluster *localcluster.Cluster, log *slog.Logger) sample {
	scaletestSample := sample{at: time.Now(), stats: cluster.Simulation.Stats(), commands: read(&cluster.Simulation.Commands)}
	var err error
	if scaletestSample.hollow, err = usageOf(os.Getpid()); err != nil {
		log.Warn("no figures of the hollow side", "err", err)
	}
	for i, pid := range cluster.Pids() {
		m := cluster.Meters[i]
		n := controllerSample{pid: pid, reads: m.Requests.Reads.Load(), txns: m.Requests.Transactions.Load(), leases: m.Requests.Leases.Load(),
			watches: m.Requests.Watches.Load(), stateIn: m.State.In.Load(), stateOut: m.State.Out.Load(), peerBytes: m.Peers.In.Load() + m.Peers.Out.Load()}
		if n.usage, err = usageOf(pid); err != nil {
			log.Warn("no figures of a controller", "node", i+1, "err", err)
		}
		if n.counters, err = scrape(cluster.Controllers[i]); err != nil {
			log.Warn("no metrics of a controller", "node", i+1, "err", err)
		}
		n.scraped = err == nil
		scaletestSample.controllers = append(scaletestSample.controllers, n)
		scaletestSample.reports = scaletestSample.reports.plus(read(&cluster.Simulation.Controller(i).HeartbeatMeter))
	}
	return scaletestSample
}

// peaks are the most that a controller held at any time.
type peaks struct {
	memMB   float64
	sockets int
	threads int
}

func (p *peaks) note(u processUsage) {
	p.memMB, p.sockets, p.threads = max(p.memMB, u.memMB), max(p.sockets, u.sockets), max(p.threads, u.threads)
}

// between works out what a controller cost from one sample to another.
func between(name string, a, b controllerSample, most peaks, took time.Duration) ControllerPoint {
	per := func(from, to float64) float64 { return max(0, to-from) / took.Seconds() }
	count := func(from, to int64) float64 { return per(float64(from), float64(to)) }
	return ControllerPoint{Name: name, Role: b.counters.role(), Shards: b.counters.shards,
		Whole: a.pid == b.pid && a.pid != 0 && a.scraped && b.scraped && a.counters.role() == b.counters.role() && a.counters.shards == b.counters.shards,
		Cores: per(a.usage.cpu.Seconds(), b.usage.cpu.Seconds()), PlanCores: per(a.counters.planning, b.counters.planning),
		MemMB: most.memMB, Sockets: most.sockets, Threads: most.threads,
		HeartbeatsS: per(a.counters.heartbeats, b.counters.heartbeats), LaunchesS: per(a.counters.launches, b.counters.launches),
		ReadsS: count(a.reads, b.reads), TxnsS: count(a.txns, b.txns), LeasesS: count(a.leases, b.leases), WatchesS: count(a.watches, b.watches),
		StateInS: count(a.stateIn, b.stateIn), StateOutS: count(a.stateOut, b.stateOut),
		CloudS: per(a.counters.cloud, b.counters.cloud), PeerBytesS: count(a.peerBytes, b.peerBytes)}
}
