package autoscale

import (
	"fmt"
	"testing"
)

func TestDecide(t *testing.T) {
	spotA, spotB, onDemandA := Pool{0, 0, true}, Pool{0, 1, true}, Pool{0, 0, false}
	offer := func(p Pool, price float64, blocked bool) Offer {
		return Offer{Pool: p, Cpus: 16, Mem: 64, Price: price, BootSeconds: 30, Blocked: blocked}
	}
	offers := []Offer{offer(spotA, 0.3, false), offer(spotB, 0.3, false), offer(onDemandA, 1, false)}
	machine := func(p Pool, usable bool) Machine { return Machine{Pool: p, Cpus: 16, Mem: 64, Usable: usable} }
	work := func(tasks int, spot bool) Demand {
		return Demand{Spot: spot, Zone: -1, Cpus: 4, Mem: 4, Tasks: tasks, TaskSeconds: float64(tasks) * 10, CompleteWithinS: 10}
	}
	idle := func(tasks int) Demand {
		d := work(tasks, true)
		d.IdleTimeWork = true
		return d
	}
	cases := []struct {
		name     string
		demands  []Demand
		machines []Machine
		offers   []Offer
		want     map[Pool]int // machines to scale out
		surplus  map[Pool]float64
	}{
		{"nothing to do", nil, []Machine{machine(spotA, true)}, offers, map[Pool]int{}, map[Pool]float64{spotA: 1}},
		{"cheapest first, spread over zones", []Demand{work(8, true)}, nil, offers, map[Pool]int{spotA: 1, spotB: 1}, nil},
		{"on-demand where spot is not allowed", []Demand{work(8, false)}, nil, offers, map[Pool]int{onDemandA: 2}, nil},
		{"existing machines count", []Demand{work(8, true)}, []Machine{machine(spotA, true)}, offers, map[Pool]int{spotB: 1}, nil},
		{"machines that are not usable do not count", []Demand{work(4, true)}, []Machine{machine(spotA, false)}, offers, map[Pool]int{spotB: 1}, nil},
		{"on-demand when spot is blocked", []Demand{work(4, true)}, nil,
			[]Offer{offer(spotA, 0.3, true), offer(onDemandA, 1, false)}, map[Pool]int{onDemandA: 1}, nil},
		{"demands with the fewest choices are served first", []Demand{work(4, true), work(4, false)}, []Machine{machine(onDemandA, true)}, offers,
			map[Pool]int{spotA: 1}, nil},
		{"the more expensive machine is surplus", []Demand{work(4, true)}, []Machine{machine(onDemandA, true), machine(spotA, true)}, offers,
			map[Pool]int{}, map[Pool]float64{onDemandA: 1, spotA: 0}},
		{"idle-time work uses no on-demand machine", []Demand{idle(4)}, []Machine{machine(onDemandA, true)},
			[]Offer{offer(spotA, 0.3, true), offer(onDemandA, 1, false)}, map[Pool]int{}, map[Pool]float64{onDemandA: 1}},
		{"idle-time work uses the capacity that other work leaves free", []Demand{idle(8), work(4, true)}, []Machine{machine(spotA, true)}, offers,
			map[Pool]int{spotA: 1, spotB: 1}, nil},
		{"too large for any machine", []Demand{{Spot: true, Zone: -1, Cpus: 32, Tasks: 1, TaskSeconds: 10, CompleteWithinS: 10}}, nil, offers, map[Pool]int{}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := Decide(test.demands, test.machines, test.offers, 0.3)
			scaledOut := map[Pool]int{}
			for _, scaleOut := range plan.ScaleOuts {
				scaledOut[scaleOut.Pool] += scaleOut.Count
			}
			if len(scaledOut) != len(test.want) {
				t.Fatalf("scales out %v, want %v", scaledOut, test.want)
			}
			for pool, n := range test.want {
				// Of two zones with the same price, either may be chosen first.
				otherZone := Pool{Type: pool.Type, Zone: 1 - pool.Zone, Spot: true}
				if scaledOut[pool] != n && (!pool.Spot || scaledOut[otherZone] != n) {
					t.Fatalf("scales out %v, want %v", scaledOut, test.want)
				}
			}
			for pool, n := range test.surplus {
				if plan.Surplus[pool] != n {
					t.Fatalf("surplus %v, want %v", plan.Surplus, test.surplus)
				}
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ machines, kinds int }{{50, 50}, {400, 400}, {1250, 5000}, {5000, 20000}} {
		b.Run(fmt.Sprintf("machines=%d/kinds=%d", size.machines, size.kinds), func(b *testing.B) {
			var machines []Machine
			for i := range size.machines {
				machines = append(machines, Machine{Pool: Pool{Spot: i%3 > 0}, Cpus: 16, Mem: 64, Usable: true})
			}
			var demands []Demand
			for i := range size.kinds {
				demands = append(demands, Demand{Spot: i%4 > 0, Zone: -1, Cpus: 2 + float64(i%97)/40, Mem: 8, CompleteWithinS: 50, TaskSeconds: 1200, Tasks: 40})
			}
			offers := []Offer{
				{Pool: Pool{Spot: true}, Cpus: 16, Mem: 64, Price: 0.2, BootSeconds: 30, Blocked: true},
				{Cpus: 16, Mem: 64, Price: 0.8, BootSeconds: 30, Blocked: true},
			}
			b.ReportAllocs()
			for b.Loop() {
				Decide(demands, machines, offers, 0.45)
			}
		})
	}
}
