package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/controller"
	"dykeledge/internal/transport"
)

// requestTimeout is the time-out of a request to the administration API.
const requestTimeout = 10 * time.Second

// adminClient sends requests to the administration API of one controller and prints the answers.
type adminClient struct {
	address string // peer_listen address of the controller
	output  string // outputTable or outputJSON
}

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// check returns a usage error if --node or --output is missing or invalid.
func (c *adminClient) check() error {
	if c.address == "" {
		return invalidUsage(errors.New("--node ADDRESS is missing: the peer_listen address of any node"))
	}
	if c.output != outputTable && c.output != outputJSON {
		return invalidUsage(errors.New("--output is table or json"))
	}
	return nil
}

// call sends one request, without retries, and returns the body of the answer. If in is not nil, it is sent as
// JSON.
func (c *adminClient) call(method, path string, in any) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + "/admin/v1" + path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		request.SetBodyRaw(raw)
	}
	httpClient := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := httpClient.DoTimeout(request, response, requestTimeout); err != nil {
		return nil, failed(fmt.Errorf("node %s does not answer: %w", c.address, err))
	}
	body := append([]byte(nil), response.Body()...)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, failed(refusalError(response.StatusCode(), body))
	}
	return body, nil
}

// refusalError returns the error that a controller gave for refusing a request, or the status code if the
// body holds none.
func refusalError(status int, body []byte) error {
	var refused transport.AdminErrorResponse
	if json.Unmarshal(body, &refused) != nil || refused.Error == "" {
		refused.Error = "status " + strconv.Itoa(status)
	}
	return errors.New(refused.Error)
}

// decode parses the JSON body of an answer.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return failed(fmt.Errorf("cannot decode the node's answer: %w", err))
	}
	return nil
}

// settings returns the operators' settings as the JSON body of the answer.
func (c *adminClient) settings() ([]byte, error) {
	return c.call(fasthttp.MethodGet, "/settings", nil)
}

// changeSettings reads the version of the settings and changes them on condition of that version. It returns
// the new settings as the JSON body of the answer.
func (c *adminClient) changeSettings(change json.RawMessage) ([]byte, error) {
	body, err := c.settings()
	if err != nil {
		return nil, err
	}
	var current transport.SettingsView
	if err := decode(body, &current); err != nil {
		return nil, err
	}
	return c.call(fasthttp.MethodPut, "/settings", transport.SettingsChange{Version: &current.Version, Settings: change})
}

// Team returns a team's entry.
func (c *adminClient) Team(name string) (controller.TeamView, error) {
	return c.callTeam(fasthttp.MethodGet, name, nil)
}

// Change changes a team on condition that its entry still has the given version.
func (c *adminClient) Change(name string, version uint64, change json.RawMessage) (controller.TeamView, error) {
	return c.callTeam(fasthttp.MethodPut, name, transport.TeamChange{Version: &version, Team: change})
}

// callTeam sends a request about one team and returns the team's entry from the answer.
func (c *adminClient) callTeam(method, name string, in any) (controller.TeamView, error) {
	body, err := c.call(method, "/teams/"+url.PathEscape(name), in)
	if err != nil {
		return controller.TeamView{}, err
	}
	var team controller.TeamView
	err = decode(body, &team)
	return team, err
}
