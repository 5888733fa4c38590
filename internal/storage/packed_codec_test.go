package storage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// TestPack: what is packed is read again as it was, and cut short it is an error, never
// a panic or another record.
func TestPack(t *testing.T) {
	long := strings.Repeat("long-name-", 12)
	racks := []GroupRecord{
		{},
		{Shard: 3, FencingToken: 1 << 40, Machines: []GroupMachine{{Name: "host-000231", Incarnation: 1}}},
		{Machines: []GroupMachine{
			{Name: "host-000231", FencingToken: 17, Incarnation: 3, Addr: "10.1.0.232:9000", Returning: true, Unhealthy: true, Draining: true, Moved: true},
			{Name: "host-31", Incarnation: 0, Addr: "worker.example:9000"}, {Name: "host-00000000000000000231", Incarnation: 1, Addr: "10.1.0.256:9000"},
			{Name: long, Incarnation: 1, Tasks: []PlacedTasks{
				{"job-000412", []uint64{0, 9, 1700000000, 3, 1, 9, 1700000000, 3, 99_999, 9, 1700000000, 3, 5, 1 << 60, 1700000009, 0}},
				{"job-412", []uint64{0, 9, 0, 1 << 40}}}}},
			Completed: []CompletedTasks{{"job-000412", []int{7, 3, 99_999}}, {"job-123456789012345678", []int{0}}}},
	}
	random := rand.New(rand.NewPCG(1, 4))
	for range 50 {
		var record GroupRecord
		for m := range random.IntN(24) {
			e := GroupMachine{Name: fmt.Sprintf("host-%06d", m*m), Incarnation: random.Uint64N(3), FencingToken: random.Uint64N(2) * random.Uint64N(1<<50)}
			for range random.IntN(6) {
				p := PlacedTasks{Job: fmt.Sprintf("job-%06d", random.IntN(9))}
				for range 1 + random.IntN(5) {
					p.Numbers = append(p.Numbers, random.Uint64N(100_000), random.Uint64N(4), 1700000000+random.Uint64N(3), random.Uint64N(2))
				}
				e.Tasks = append(e.Tasks, p)
			}
			record.Machines = append(record.Machines, e)
		}
		racks = append(racks, record)
	}
	for i, groupRecord := range racks {
		raw := EncodeGroup(&groupRecord, true)
		got, err := DecodeGroup(raw)
		got.Packed = ""
		if len(got.Machines) == 0 {
			got.Machines = nil
		}
		if err != nil || !reflect.DeepEqual(got, groupRecord) {
			t.Fatalf("rack %d: %v\n%+v\n%+v", i, err, got, groupRecord)
		}
		packed := groupRecord.pack()
		for n := range len(packed) {
			var y GroupRecord
			if err := y.unpack(packed[:n]); err == nil && n < len(packed)-1 && !reflect.DeepEqual(y, groupRecord) && len(y.Machines)+len(y.Completed) > len(groupRecord.Machines)+len(groupRecord.Completed) {
				t.Fatalf("rack %d cut at %d gives %+v", i, n, y)
			}
		}
	}
	fleet := FleetRecord{FencingToken: 4, Type: "t", Zone: "a", Spot: true, Machines: []FleetMachine{{"host-000001", 3, "10.0.0.1:9000"}, {long, 0, ""}}}
	if got, err := DecodeFleet(EncodeFleet(&fleet, true)); err != nil || !reflect.DeepEqual(got, fleet) {
		t.Errorf("fleet: %v %+v", err, got)
	}
	e := VictimSetRecord{Shard: 1, AtMs: 5, Victims: []VictimRecord{{"host-000001", "job-000001", 3, 1 << 50, 12.5}, {"host-000001", "job-000002", 0, 7, 0}},
		Reservations: []ReservationRecord{{"host-000001", 2}}}
	if got, err := DecodeVictimSet(EncodeVictimSet(&e, true)); err != nil || !reflect.DeepEqual(got, e) {
		t.Errorf("evicted set: %v %+v", err, got)
	}
	ids := []string{"job-000398", "job-1234567", "job-000000000000000001"}
	if got, err := unpackIDs(PackIDs(ids)); err != nil || !reflect.DeepEqual(got, ids) {
		t.Errorf("ids: %v %v", err, got)
	}
}

func FuzzUnpack(f *testing.F) {
	x := GroupRecord{Machines: []GroupMachine{{Name: "host-000231", Incarnation: 2, Tasks: []PlacedTasks{{"job-000412", []uint64{0, 9, 17, 3}}}}}}
	f.Add(x.pack())
	f.Fuzz(func(_ *testing.T, s string) {
		_ = new(GroupRecord).unpack(s) // must not panic or take much memory
		_ = new(FleetRecord).unpack(s)
		_ = new(VictimSetRecord).unpack(s)
		_, _ = unpackIDs(s)
	})
}
