package protocol

import (
	"bytes"
	"encoding/json"
	"math"
)

// Limits of the values of single fields.
const (
	maxNameBytes = 128 // bytes
	maxAmount    = 1e9 // in the unit of the field
)

// The JSON names of a submission's fields.
const (
	fieldID             = "id"
	fieldClass          = "jobclass"
	fieldTeam           = "crew"
	fieldShape          = "shape"
	fieldPriority       = "urgency"
	fieldTasks          = "shards"
	fieldCpus           = "cpus"
	fieldGpus           = "accelerators"
	fieldMemory         = "ramGb"
	fieldImage          = "kit"
	fieldImageSize      = "pullGb"
	fieldTypes          = "hulls"
	fieldZone           = "berth"
	fieldOneZone        = "together"
	fieldSpread         = "scatter"
	fieldSpot           = "loaners"
	fieldEstimate       = "expectedS"
	fieldCheckpoint     = "markEveryS"
	fieldCheckpointCost = "markCostS"
	fieldDeadline       = "dueS"
	fieldDependencies   = "awaits"
)

// submissionMessage is the JSON form of a submission; Submission documents the fields. A nil pointer or
// slice stands for null.
type submissionMessage struct {
	ID              string   `json:"id"`
	Class           string   `json:"jobclass"`
	Team            string   `json:"crew"`
	Shape           string   `json:"shape"`
	Priority        string   `json:"urgency"`
	Tasks           int      `json:"shards"`
	Cpus            float64  `json:"cpus"`
	Gpus            float64  `json:"accelerators"`
	MemGB           float64  `json:"ramGb"`
	Image           string   `json:"kit"`
	ImageGB         float64  `json:"pullGb"`
	Types           []string `json:"hulls"`
	Zone            *string  `json:"berth"`
	OneZone         bool     `json:"together"`
	Spread          bool     `json:"scatter"`
	Spot            bool     `json:"loaners"`
	EstimateS       float64  `json:"expectedS"`
	CheckpointS     float64  `json:"markEveryS"`
	CheckpointCostS float64  `json:"markCostS"`
	DeadlineS       *float64 `json:"dueS"`
	Dependencies    []string `json:"awaits,omitempty"`
}

// EncodeSubmission encodes a submission as users send it. It is the inverse of ParseSubmission.
func EncodeSubmission(submission *Submission) ([]byte, error) {
	message := submissionMessage{
		ID:              submission.ID,
		Class:           submission.Class,
		Team:            submission.Team,
		Shape:           submission.Shape.String(),
		Priority:        submission.Priority.String(),
		Tasks:           submission.Tasks,
		Cpus:            submission.Cpus,
		Gpus:            submission.Gpus,
		MemGB:           submission.MemGB,
		Image:           submission.Image,
		ImageGB:         submission.ImageGB,
		Types:           submission.Types,
		OneZone:         submission.OneZone,
		Spread:          submission.Spread,
		Spot:            submission.Spot,
		EstimateS:       submission.EstimateS,
		CheckpointS:     submission.CheckpointS,
		CheckpointCostS: submission.CheckpointCostS,
		Dependencies:    submission.Dependencies,
	}
	if submission.Zone != "" {
		message.Zone = &submission.Zone
	}
	if submission.DeadlineS > 0 {
		message.DeadlineS = &submission.DeadlineS
	}
	return json.Marshal(message)
}

// ParseSubmission decodes and validates a submission. It does not check whether its team, zone and
// machine types exist. Its errors are for the user: ErrBodyTooLarge, ErrNotObject, ErrNotJSON, or a
// *FieldError for the first invalid field.
func ParseSubmission(body []byte) (*Submission, error) {
	values, err := splitObject(body)
	if err != nil {
		return nil, err
	}
	message, err := decodeSubmission(values)
	if err != nil {
		return nil, err
	}
	if err := message.check(); err != nil {
		return nil, err
	}
	return message.submission(), nil
}

// splitObject splits a JSON object into its fields, which are not decoded.
func splitObject(body []byte) (map[string]json.RawMessage, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	if !looksLikeObject(body) {
		return nil, ErrNotObject
	}
	var values map[string]json.RawMessage
	if err := json.Unmarshal(body, &values); err != nil {
		return nil, ErrNotJSON
	}
	return values, nil
}

// looksLikeObject reports whether a JSON text begins like an object.
func looksLikeObject(body []byte) bool {
	text := bytes.TrimLeft(body, " \t\r\n")
	return len(text) > 0 && text[0] == '{'
}

// decodeSubmission decodes each field into its type. The fields are decoded one by one and not as one
// struct, so that each error names its field, field names are case-sensitive, and null counts as a
// missing field unless the field is nullable.
func decodeSubmission(values map[string]json.RawMessage) (*submissionMessage, error) {
	var message submissionMessage
	for _, field := range []struct {
		name     string
		into     any
		nullable bool
	}{
		{fieldID, &message.ID, false},
		{fieldClass, &message.Class, false},
		{fieldTeam, &message.Team, false},
		{fieldShape, &message.Shape, false},
		{fieldPriority, &message.Priority, false},
		{fieldTasks, &message.Tasks, false},
		{fieldCpus, &message.Cpus, false},
		{fieldGpus, &message.Gpus, false},
		{fieldMemory, &message.MemGB, false},
		{fieldImage, &message.Image, false},
		{fieldImageSize, &message.ImageGB, false},
		{fieldTypes, &message.Types, true},
		{fieldZone, &message.Zone, true},
		{fieldOneZone, &message.OneZone, false},
		{fieldSpread, &message.Spread, false},
		{fieldSpot, &message.Spot, false},
		{fieldEstimate, &message.EstimateS, false},
		{fieldCheckpoint, &message.CheckpointS, false},
		{fieldCheckpointCost, &message.CheckpointCostS, false},
		{fieldDeadline, &message.DeadlineS, true},
		{fieldDependencies, &message.Dependencies, true},
	} {
		if err := decodeField(values, field.name, field.into, field.nullable); err != nil {
			return nil, err
		}
	}
	return &message, nil
}

// decodeField decodes one field. A nullable field that is null or missing is left unchanged.
func decodeField(values map[string]json.RawMessage, name string, into any, nullable bool) error {
	raw, present := values[name]
	if !present || bytes.Equal(raw, []byte("null")) {
		if nullable {
			return nil
		}
		return fieldError(name, "is missing")
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fieldError(name, "has the wrong type")
	}
	return nil
}

// check returns an error for the first field with an invalid value. The order determines which error a
// user sees.
func (m *submissionMessage) check() error {
	for _, checkPart := range []func() error{
		m.checkID,
		m.checkKind,
		m.checkTasks,
		m.checkNames,
		m.checkAmounts,
		m.checkDeadline,
		m.checkZone,
		m.checkDependencies,
		m.checkTypes,
	} {
		if err := checkPart(); err != nil {
			return err
		}
	}
	return nil
}

func (m *submissionMessage) checkID() error {
	if !ValidJobID(m.ID) {
		return fieldError(fieldID, "is not in the form job-000412")
	}
	if m.ID == ReservedJobID {
		return fieldError(fieldID, "is reserved")
	}
	return nil
}

func (m *submissionMessage) checkKind() error {
	if _, known := parseShape(m.Shape); !known {
		return fieldError(fieldShape, "is not batch or daemon")
	}
	if _, known := ParsePriority(m.Priority); !known {
		return fieldError(fieldPriority, "is not production, high, normal or low")
	}
	return nil
}

func (m *submissionMessage) checkTasks() error {
	if m.Tasks < 1 || m.Tasks > MaxTasks {
		return fieldError(fieldTasks, "is not between 1 and %d", MaxTasks)
	}
	return nil
}

func (m *submissionMessage) checkNames() error {
	for _, field := range []struct{ name, value string }{
		{fieldClass, m.Class},
		{fieldTeam, m.Team},
		{fieldImage, m.Image},
	} {
		if !validName(field.value) {
			return fieldError(field.name, "is not a name of 1 to %d bytes", maxNameBytes)
		}
	}
	return nil
}

func (m *submissionMessage) checkAmounts() error {
	if m.Cpus <= 0 {
		return fieldError(fieldCpus, "is not above 0")
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{fieldCpus, m.Cpus},
		{fieldGpus, m.Gpus},
		{fieldMemory, m.MemGB},
		{fieldImageSize, m.ImageGB},
		{fieldEstimate, m.EstimateS},
		{fieldCheckpoint, m.CheckpointS},
		{fieldCheckpointCost, m.CheckpointCostS},
	} {
		if field.value < 0 || field.value > maxAmount || math.IsNaN(field.value) {
			return fieldError(field.name, "is out of range")
		}
	}
	return nil
}

func (m *submissionMessage) checkDeadline() error {
	if m.DeadlineS != nil && (*m.DeadlineS <= 0 || *m.DeadlineS > maxAmount) {
		return fieldError(fieldDeadline, "is out of range")
	}
	return nil
}

func (m *submissionMessage) checkZone() error {
	if m.Zone != nil && !validName(*m.Zone) {
		return fieldError(fieldZone, "is not a zone's name")
	}
	return nil
}

func (m *submissionMessage) checkDependencies() error {
	for _, id := range m.Dependencies {
		if !ValidJobID(id) {
			return fieldError(fieldDependencies, "holds something that is no job's id")
		}
	}
	return nil
}

func (m *submissionMessage) checkTypes() error {
	if m.Types != nil && len(m.Types) == 0 {
		return fieldError(fieldTypes, "is an empty list")
	}
	for _, machineType := range m.Types {
		if !validName(machineType) {
			return fieldError(fieldTypes, "holds something that is no name")
		}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// submission converts the message, which check has accepted, to a Submission.
func (m *submissionMessage) submission() *Submission {
	shape, _ := parseShape(m.Shape)          // valid: checkKind has accepted it
	priority, _ := ParsePriority(m.Priority) // valid: checkKind has accepted it
	submission := &Submission{
		ID:              m.ID,
		Class:           m.Class,
		Team:            m.Team,
		Shape:           shape,
		Priority:        priority,
		Tasks:           m.Tasks,
		Cpus:            m.Cpus,
		Gpus:            m.Gpus,
		MemGB:           m.MemGB,
		Image:           m.Image,
		ImageGB:         m.ImageGB,
		Types:           m.Types,
		OneZone:         m.OneZone,
		Spread:          m.Spread,
		Spot:            m.Spot,
		EstimateS:       m.EstimateS,
		CheckpointS:     m.CheckpointS,
		CheckpointCostS: m.CheckpointCostS,
		Dependencies:    removeDuplicates(m.Dependencies),
	}
	if m.Zone != nil {
		submission.Zone = *m.Zone
	}
	if m.DeadlineS != nil {
		submission.DeadlineS = *m.DeadlineS
	}
	return submission
}

// removeDuplicates removes repeated names from a list, in place.
func removeDuplicates(names []string) []string {
	seen := make(map[string]bool, len(names))
	unique := names[:0]
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			unique = append(unique, name)
		}
	}
	return unique
}
