package autoscale

import (
	"fmt"
	"testing"
)

func TestDecide(t *testing.T) {
	spotA, spotB, ordA := Pool{0, 0, true}, Pool{0, 1, true}, Pool{0, 0, false}
	offer := func(p Pool, price float64, blocked bool) Offer {
		return Offer{Pool: p, Cpus: 16, Mem: 64, Price: price, Boot: 30, Blocked: blocked}
	}
	offers := []Offer{offer(spotA, 0.3, false), offer(spotB, 0.3, false), offer(ordA, 1, false)}
	machine := func(p Pool, usable bool) Machine { return Machine{Pool: p, Cpus: 16, Mem: 64, Usable: usable} }
	work := func(tasks int, spot bool) Demand {
		return Demand{Spot: spot, Zone: -1, Cpus: 4, Mem: 4, Tasks: tasks, Work: float64(tasks) * 10, WithinS: 10}
	}
	idle := func(tasks int) Demand {
		d := work(tasks, true)
		d.Idle = true
		return d
	}
	cases := []struct {
		name     string
		demands  []Demand
		machines []Machine
		offers   []Offer
		want     map[Pool]int
		spare    map[Pool]float64
	}{
		{"nothing to do", nil, []Machine{machine(spotA, true)}, offers, map[Pool]int{}, map[Pool]float64{spotA: 1}},
		{"cheap first, spread over zones", []Demand{work(8, true)}, nil, offers, map[Pool]int{spotA: 1, spotB: 1}, nil},
		{"ordinary where spot is not allowed", []Demand{work(8, false)}, nil, offers, map[Pool]int{ordA: 2}, nil},
		{"what is there counts", []Demand{work(8, true)}, []Machine{machine(spotA, true)}, offers, map[Pool]int{spotB: 1}, nil},
		{"what is going does not", []Demand{work(4, true)}, []Machine{machine(spotA, false)}, offers, map[Pool]int{spotB: 1}, nil},
		{"ordinary when no spot can be had", []Demand{work(4, true)}, nil,
			[]Offer{offer(spotA, 0.3, true), offer(ordA, 1, false)}, map[Pool]int{ordA: 1}, nil},
		{"the choosy take theirs first", []Demand{work(4, true), work(4, false)}, []Machine{machine(ordA, true)}, offers,
			map[Pool]int{spotA: 1}, nil},
		{"the dear one is spare", []Demand{work(4, true)}, []Machine{machine(ordA, true), machine(spotA, true)}, offers,
			map[Pool]int{}, map[Pool]float64{ordA: 1, spotA: 0}},
		{"idle-time work is worth no ordinary machine", []Demand{idle(4)}, []Machine{machine(ordA, true)},
			[]Offer{offer(spotA, 0.3, true), offer(ordA, 1, false)}, map[Pool]int{}, map[Pool]float64{ordA: 1}},
		{"idle-time work takes what others leave", []Demand{idle(8), work(4, true)}, []Machine{machine(spotA, true)}, offers,
			map[Pool]int{spotA: 1, spotB: 1}, nil},
		{"too large for any machine", []Demand{{Spot: true, Zone: -1, Cpus: 32, Tasks: 1, Work: 10, WithinS: 10}}, nil, offers, map[Pool]int{}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan := Decide(c.demands, c.machines, c.offers, 0.3)
			got := map[Pool]int{}
			for _, r := range plan.ScaleOuts {
				got[r.Pool] += r.Count
			}
			if len(got) != len(c.want) {
				t.Fatalf("rents %v, want %v", got, c.want)
			}
			for k, n := range c.want {
				if got[k] != n && !(k.Spot && got[Pool{k.Type, 1 - k.Zone, true}] == n) {
					t.Fatalf("rents %v, want %v", got, c.want)
				}
			}
			for k, n := range c.spare {
				if plan.Surplus[k] != n {
					t.Fatalf("spare %v, want %v", plan.Surplus, c.spare)
				}
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []struct{ machines, kinds int }{{50, 50}, {400, 400}, {1250, 5000}, {5000, 20000}} {
		b.Run(fmt.Sprintf("machines=%d/kinds=%d", n.machines, n.kinds), func(b *testing.B) {
			var autoscaleMachines []Machine
			for i := range n.machines {
				autoscaleMachines = append(autoscaleMachines, Machine{Pool: Pool{Spot: i%3 > 0}, Cpus: 16, Mem: 64, Usable: true})
			}
			var ds []Demand
			for i := range n.kinds {
				ds = append(ds, Demand{Spot: i%4 > 0, Zone: -1, Cpus: 2 + float64(i%97)/40, Mem: 8, WithinS: 50, Work: 1200, Tasks: 40})
			}
			offers := []Offer{{Pool: Pool{Spot: true}, Cpus: 16, Mem: 64, Price: 0.2, Boot: 30, Blocked: true}, {Cpus: 16, Mem: 64, Price: 0.8, Boot: 30, Blocked: true}}
			b.ReportAllocs()
			for b.Loop() {
				Decide(ds, autoscaleMachines, offers, 0.45)
			}
		})
	}
}
