package protocol

import "encoding/json"

func (s Shape) String() string { return [...]string{"batch", "daemon"}[s] }

// EncodeSubmission writes a submission as users send it; ParseSubmission reads it back.
func EncodeSubmission(s *Submission) ([]byte, error) {
	w := struct {
		ID          string   `json:"id"`
		Class       string   `json:"jobclass"`
		Team        string   `json:"crew"`
		Shape       string   `json:"shape"`
		Priority    string   `json:"urgency"`
		Tasks       int      `json:"shards"`
		Cpus        float64  `json:"cpus"`
		Gpus        float64  `json:"accelerators"`
		MemGB       float64  `json:"ramGb"`
		Image       string   `json:"kit"`
		ImageGB     float64  `json:"pullGb"`
		Types       []string `json:"hulls"`
		Zone        *string  `json:"berth"`
		OneZone     bool     `json:"together"`
		Spread      bool     `json:"scatter"`
		Spot        bool     `json:"loaners"`
		EstimateS   float64  `json:"expectedS"`
		CheckpointS float64  `json:"markEveryS"`
		SaveS       float64  `json:"markCostS"`
		DeadlineS   *float64 `json:"dueS"`
		Needs       []string `json:"awaits,omitempty"`
	}{s.ID, s.Class, s.Team, s.Shape.String(), s.Priority.String(), s.Tasks, s.Cpus, s.Gpus, s.MemGB, s.Image, s.ImageGB,
		s.Types, nil, s.OneZone, s.Spread, s.Spot, s.EstimateS, s.CheckpointS, s.CheckpointCostS, nil, s.Dependencies}
	if s.Zone != "" {
		w.Zone = &s.Zone
	}
	if s.DeadlineS > 0 {
		w.DeadlineS = &s.DeadlineS
	}
	return json.Marshal(w)
}

// ParsePriority reads a priority's name.
func ParsePriority(name string) (Priority, bool) {
	for p := Low; p <= Production; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}
