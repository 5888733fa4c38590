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
	cloudTimeout      = 10 * time.Second // for a response
	cloudService      = "cloud"          // label in the metrics
	cloudRateFraction = 0.8              // of the cloud's rate limit, which the leader uses nearly alone
	minCloudBurst     = 1.0              // requests
	noCapacityText    = "no capacity"    // error text of the cloud for a request for which it has no machines
)

// CloudClient is a client of the cloud.
type CloudClient struct {
	client *fasthttp.HostClient
	budget *Budget // in requests
	// Observe, if set, is called with the service and the outcome of each request.
	Observe func(service, outcome string)
}

// NewCloudClient returns a client that stays within the cloud's rate limit.
func NewCloudClient(settings *config.Settings) *CloudClient {
	return &CloudClient{
		client: newHostClient(settings.External.Cloud, cloudConns),
		budget: CloudBudget(&settings.Deployment),
	}
}

// CloudBudget returns the budget that keeps a controller within the cloud's rate limit, which the leader
// uses nearly alone. Its unit is requests.
func CloudBudget(deployment *config.Deployment) *Budget {
	rate := cloudRateFraction * deployment.Cloud.RPS
	return NewBudget(rate, max(minCloudBurst, rate))
}

func (c *CloudClient) call(ctx context.Context, request serviceRequest, out any) error {
	if err := c.budget.Wait(ctx, 1, 0); err != nil {
		return notExecuted(err)
	}
	status, err := call(ctx, c.client, request, out, cloudTimeout)
	if c.Observe != nil {
		c.Observe(cloudService, requestOutcome(status, err))
	}
	return statusError(status, err)
}

// Catalog returns the machine types that the cloud offers.
func (c *CloudClient) Catalog(ctx context.Context) (*protocol.Catalog, error) {
	var catalog protocol.Catalog
	err := c.call(ctx, serviceRequest{http.MethodGet, "/catalog", nil}, &catalog)
	return &catalog, err
}

// scaleOutResponse is the body of the response to a ScaleOutRequest: the machines' names or an error.
type scaleOutResponse struct {
	protocol.MachineNames
	Error string `json:"error"`
}

// ScaleOut rents machines and returns their names. It returns protocol.ErrNoCapacity if the cloud has
// none available.
func (c *CloudClient) ScaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error) {
	var answer scaleOutResponse
	err := c.call(ctx, serviceRequest{http.MethodPost, "/hosts", request}, &answer)
	if err != nil && answer.Error == noCapacityText {
		return nil, protocol.ErrNoCapacity
	}
	return answer.Machines, err
}

// ScaleIn returns machines to the cloud. If it returns nil, they no longer exist.
func (c *CloudClient) ScaleIn(ctx context.Context, names []string) error {
	request := serviceRequest{http.MethodPost, "/hosts/return", protocol.MachineNames{Machines: names}}
	return c.call(ctx, request, nil)
}

// List returns a page of the machine list, which begins after the machine with ID after.
func (c *CloudClient) List(ctx context.Context, after string) (protocol.MachineList, error) {
	path := "/hosts?limit=" + strconv.Itoa(protocol.MaxMachinesPerPage)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	var list protocol.MachineList
	err := c.call(ctx, serviceRequest{http.MethodGet, path, nil}, &list)
	return list, err
}
