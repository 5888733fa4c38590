package scaletest

import (
	"bytes"
	"fmt"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"
)

// scrapeTimeout is the time-out for reading a controller's metrics.
const scrapeTimeout = 3 * time.Second

// Names of the controllers' metrics that a run reads.
const (
	metricLaunches   = "dykeledge_launches_total"
	metricPlanning   = "dykeledge_plan_seconds"
	metricHeartbeats = "dykeledge_report_answer_seconds"
	metricLeader     = "dykeledge_leader"
	metricShards     = "dykeledge_shares_owned"
	metricRequests   = "dykeledge_service_requests_total"
	labelService     = "service"
	serviceCloud     = "cloud"
)

// counters holds the metrics of one controller at one moment.
type counters struct {
	launches, planning, heartbeats, cloud float64 // launches, seconds of planning, answered heartbeats, cloud requests
	leader                                bool
	shards                                int // shards that the controller owns
}

// role returns the controller's role according to its metrics.
func (c counters) role() Role {
	switch {
	case c.leader:
		return Leader
	case c.shards > 0:
		return Owner
	}
	return Member
}

// scrape reads the metrics of the controller at address.
func scrape(address string) (counters, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/metrics", scrapeTimeout)
	if err != nil {
		return counters{}, fmt.Errorf("metrics of %s: %w", address, err)
	}
	if status != fasthttp.StatusOK {
		return counters{}, fmt.Errorf("metrics of %s: status %d", address, status)
	}
	return parseCounters(body)
}

// parseCounters parses a controller's metrics in the text format. Missing metrics count as 0.
func parseCounters(text []byte) (counters, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return counters{}, fmt.Errorf("metrics: %w", err)
	}
	var found counters
	for name, family := range families {
		for _, m := range family.GetMetric() {
			switch name {
			case metricLaunches:
				found.launches += m.GetCounter().GetValue()
			case metricPlanning:
				found.planning += m.GetHistogram().GetSampleSum()
			case metricHeartbeats:
				found.heartbeats += float64(m.GetHistogram().GetSampleCount())
			case metricLeader:
				found.leader = m.GetGauge().GetValue() > 0
			case metricShards:
				found.shards = int(m.GetGauge().GetValue())
			case metricRequests:
				for _, label := range m.GetLabel() {
					if label.GetName() == labelService && label.GetValue() == serviceCloud {
						found.cloud += m.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return found, nil
}
