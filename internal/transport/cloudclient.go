package transport

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

const (
	cloudConns        = 8
	cloudTimeout      = 10 * time.Second // until an answer has to be there
	cloudService      = "cloud"          // as metrics name it
	cloudRateFraction = 0.8              // of the cloud's rate: the leader uses it nearly alone
	minCloudBurst     = 1.0              // requests
	noCapacityText    = "no capacity"    // the cloud's text for a request that it has no machines for
)

// Cloud is the client of the cloud.
type Cloud struct {
	client *fasthttp.HostClient
	budget *Budget // in requests
	// Observe, if set, counts requests by service and outcome.
	Observe func(service, outcome string)
}

// NewCloud makes a client that stays under the cloud's rate.
func NewCloud(settings *config.Settings) *Cloud {
	return &Cloud{
		client: newHostClient(settings.External.Cloud, cloudConns),
		budget: CloudBudget(&settings.Deployment),
	}
}

// CloudBudget keeps a controller under the cloud's rate, which the leader uses nearly alone. Its unit
// is requests.
func CloudBudget(deployment *config.Deployment) *Budget {
	rate := cloudRateFraction * deployment.Cloud.RPS
	return NewBudget(rate, max(minCloudBurst, rate))
}

func (c *Cloud) call(ctx context.Context, request serviceRequest, out any) error {
	if err := c.budget.Wait(ctx, 1, 0); err != nil {
		return notExecuted(err)
	}
	status, err := call(ctx, c.client, request, out, cloudTimeout)
	if c.Observe != nil {
		c.Observe(cloudService, requestOutcome(status, err))
	}
	return statusError(status, err)
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) (*protocol.Catalog, error) {
	var catalog protocol.Catalog
	err := c.call(ctx, serviceRequest{http.MethodGet, "/catalog", nil}, &catalog)
	return &catalog, err
}

// scaleOutResponse is the body of an answer to a ScaleOutRequest: the machines' names or a refusal.
type scaleOutResponse struct {
	protocol.MachineNames
	Error string `json:"error"`
}

// ScaleOut rents machines and returns their names. protocol.ErrNoCapacity says that there are none.
func (c *Cloud) ScaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error) {
	var answer scaleOutResponse
	err := c.call(ctx, serviceRequest{http.MethodPost, "/hosts", request}, &answer)
	if err != nil && answer.Error == noCapacityText {
		return nil, protocol.ErrNoCapacity
	}
	return answer.Machines, err
}

// ScaleIn gives machines back; after nil they are gone.
func (c *Cloud) ScaleIn(ctx context.Context, names []string) error {
	request := serviceRequest{http.MethodPost, "/hosts/return", protocol.MachineNames{Machines: names}}
	return c.call(ctx, request, nil)
}

// List reads a page of the machine list, of the machines after the one with id after.
func (c *Cloud) List(ctx context.Context, after string) (protocol.MachineList, error) {
	path := "/hosts?limit=" + strconv.Itoa(protocol.MaxList)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	var list protocol.MachineList
	err := c.call(ctx, serviceRequest{http.MethodGet, path, nil}, &list)
	return list, err
}
