package protocol

import "encoding/json"

func (s Shape) String() string { return [...]string{"batch", "daemon"}[s] }

// EncodeSubmission writes a submission as users send it; ParseSubmission reads it back.
func EncodeSubmission(submission *Submission) ([]byte, error) {
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
	}{submission.ID, submission.Class, submission.Team, submission.Shape.String(), submission.Priority.String(), submission.Tasks, submission.Cpus, submission.Gpus, submission.MemGB, submission.Image, submission.ImageGB,
		submission.Types, nil, submission.OneZone, submission.Spread, submission.Spot, submission.EstimateS, submission.CheckpointS, submission.CheckpointCostS, nil, submission.Dependencies}
	if submission.Zone != "" {
		w.Zone = &submission.Zone
	}
	if submission.DeadlineS > 0 {
		w.DeadlineS = &submission.DeadlineS
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
