package storage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// TestPackedRecordsRoundTrip checks that packed records decode to the original ones, and that truncated
// ones never cause a panic or decode to more entries than were packed.
func TestPackedRecordsRoundTrip(t *testing.T) {
	longName := strings.Repeat("long-name-", 12)
	for i, group := range groupsToPack(longName) {
		t.Run(fmt.Sprint("group ", i), func(t *testing.T) { checkPackedGroup(t, &group) })
	}
	t.Run("fleet", func(t *testing.T) {
		fleet := FleetRecord{FencingToken: 4, Type: "t", Zone: "a", Spot: true, Machines: []FleetMachine{{"host-000001", 3, "10.0.0.1:9000"}, {longName, 0, ""}}}
		if got, err := DecodeFleet(EncodeFleet(&fleet, true)); err != nil || !reflect.DeepEqual(got, fleet) {
			t.Errorf("decoded as %+v (error: %v)", got, err)
		}
	})
	t.Run("victim set", func(t *testing.T) {
		set := VictimSetRecord{
			Shard: 1, ChosenAtMs: 5,
			Victims:      []VictimRecord{{"host-000001", "job-000001", 3, 1 << 50, 12.5}, {"host-000001", "job-000002", 0, 7, 0}},
			Reservations: []ReservationRecord{{"host-000001", 2}},
		}
		if got, err := DecodeVictimSet(EncodeVictimSet(&set, true)); err != nil || !reflect.DeepEqual(got, set) {
			t.Errorf("decoded as %+v (error: %v)", got, err)
		}
	})
	t.Run("ids", func(t *testing.T) {
		ids := []string{"job-000398", "job-1234567", "job-000000000000000001"}
		if got, err := unpackIDs(PackIDs(ids)); err != nil || !reflect.DeepEqual(got, ids) {
			t.Errorf("decoded as %v (error: %v)", got, err)
		}
	})
}

// groupsToPack returns groups that use every field, and random ones.
func groupsToPack(longName string) []GroupRecord {
	groups := []GroupRecord{
		{},
		{Shard: 3, FencingToken: 1 << 40, Machines: []GroupMachine{{Name: "host-000231", Incarnation: 1}}},
		{
			Machines: []GroupMachine{
				{Name: "host-000231", FencingToken: 17, Incarnation: 3, Addr: "10.1.0.232:9000", Returning: true, Unhealthy: true, Draining: true, Moved: true},
				{Name: "host-31", Incarnation: 0, Addr: "worker.example:9000"},
				{Name: "host-00000000000000000231", Incarnation: 1, Addr: "10.1.0.256:9000"},
				{Name: longName, Incarnation: 1, Tasks: []PlacedTasks{
					{"job-000412", []uint64{0, 9, 1700000000, 3, 1, 9, 1700000000, 3, 99_999, 9, 1700000000, 3, 5, 1 << 60, 1700000009, 0}},
					{"job-412", []uint64{0, 9, 0, 1 << 40}},
				}},
			},
			Completed: []CompletedTasks{{"job-000412", []int{7, 3, 99_999}}, {"job-123456789012345678", []int{0}}},
		},
	}
	random := rand.New(rand.NewPCG(1, 4))
	for range 50 {
		groups = append(groups, randomGroup(random))
	}
	return groups
}

func randomGroup(random *rand.Rand) GroupRecord {
	var group GroupRecord
	for i := range random.IntN(24) {
		machine := GroupMachine{Name: fmt.Sprintf("host-%06d", i*i), Incarnation: random.Uint64N(3), FencingToken: random.Uint64N(2) * random.Uint64N(1<<50)}
		for range random.IntN(6) {
			placed := PlacedTasks{Job: fmt.Sprintf("job-%06d", random.IntN(9))}
			for range 1 + random.IntN(5) {
				placed.Numbers = append(placed.Numbers, random.Uint64N(100_000), random.Uint64N(4), 1700000000+random.Uint64N(3), random.Uint64N(2))
			}
			machine.Tasks = append(machine.Tasks, placed)
		}
		group.Machines = append(group.Machines, machine)
	}
	return group
}

// checkPackedGroup packs a group and decodes it whole and truncated after each byte.
func checkPackedGroup(t *testing.T, group *GroupRecord) {
	t.Helper()
	got, err := DecodeGroup(EncodeGroup(group, true))
	got.Packed = ""
	if len(got.Machines) == 0 {
		got.Machines = nil
	}
	if err != nil || !reflect.DeepEqual(got, *group) {
		t.Fatalf("error: %v\ngot  %+v\nwant %+v", err, got, *group)
	}
	packed := group.pack()
	for length := range len(packed) {
		var cut GroupRecord
		err := cut.unpack(packed[:length])
		more := len(cut.Machines)+len(cut.Completed) > len(group.Machines)+len(group.Completed)
		if err == nil && length < len(packed)-1 && !reflect.DeepEqual(cut, *group) && more {
			t.Fatalf("truncated after %d bytes it decodes as %+v", length, cut)
		}
	}
}

// FuzzUnpack decodes arbitrary text as each kind of packed list; it must not panic or use much memory.
func FuzzUnpack(f *testing.F) {
	group := GroupRecord{Machines: []GroupMachine{{Name: "host-000231", Incarnation: 2, Tasks: []PlacedTasks{{"job-000412", []uint64{0, 9, 17, 3}}}}}}
	f.Add(group.pack())
	f.Fuzz(func(_ *testing.T, text string) {
		_ = new(GroupRecord).unpack(text)
		_ = new(FleetRecord).unpack(text)
		_ = new(VictimSetRecord).unpack(text)
		_, _ = unpackIDs(text)
	})
}
