package localcluster

import (
	"strings"
	"testing"
)

func TestSchedule(t *testing.T) {
	for _, test := range []struct{ text, want string }{ // want: the field that the error names, empty if the fault is valid
		{"at_s = 5\nkind = \"crash\"\nnode = \"n1\"", ""},
		{"at_s = 5\nkind = \"cut\"\nnode = \"all\"\nfor_s = 3\nfrom = [\"state\", \"peers\"]", ""},
		{"at_s = 5\nkind = \"taken\"\nnotice_s = 4\npart = 0.5\nzone = \"a\"", ""},
		{"at_s = 5\nkind = \"outage\"\nfor_s = 9", ""},
		{"at_s = 5\nkind = \"flood\"", "kind"},
		{"at_s = -1\nkind = \"crash\"\nnode = \"n1\"", "at_s"},
		{"at_s = 5\nkind = \"crash\"\nnode = \"n4\"", "node"},
		{"at_s = 5\nkind = \"crash\"\nnode = \"n1\"\nfor_s = 2", "for_s"},
		{"at_s = 5\nkind = \"outage\"", "for_s"},
		{"at_s = 5\nkind = \"outage\"\nfor_s = 2\nnode = \"n1\"", "node"},
		{"at_s = 5\nkind = \"cut\"\nnode = \"n1\"\nfor_s = 2\nfrom = [\"workers\"]", "from"},
		{"at_s = 5\nkind = \"taken\"\npart = 1.5", "part"},
		{"at_s = 5\nkind = \"machine_dies\"\nnotice_s = 3", "notice_s"},
		{"at_s = 5\nkind = \"crash\"\nnode = \"n1\"\nzone = \"a\"", "zone"},
		{"at_s = 5\nkind = \"crash\"\nnodes = \"n1\"", "nodes"},
	} {
		t.Run(strings.ReplaceAll(test.text, "\n", " "), func(t *testing.T) {
			schedule, err := ParseSchedule([]byte("[[fault]]\n" + test.text + "\n[[fault]]\nat_s = 1\nkind = \"machine_dies\"\n"))
			if (err == nil) != (test.want == "") || err != nil && (!strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("error %v, want one line that contains %q", err, test.want)
			}
			if err == nil && schedule.Faults[0].AtS != 1 {
				t.Error("the faults are not sorted by time")
			}
		})
	}
}
