package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/admin"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// adminTimeout is the default timeout of one request to an admin endpoint.
	adminTimeout = 5 * time.Second
	// maxAdminBytes limits the response of an admin endpoint, in bytes.
	maxAdminBytes = 4 << 20
)

// adminFlags are the flags of commands that query admin endpoints.
type adminFlags struct {
	addresses string
	timeout   time.Duration
	isJSON    bool
}

func (a *adminFlags) bind(flags *flag.FlagSet) {
	flags.StringVar(&a.addresses, "admin", "127.0.0.1:8081", "Admin addresses of the entry VMs to query. Unit: IP:port, separated by commas.")
	flags.DurationVar(&a.timeout, "admin-timeout", adminTimeout, "Maximum time to wait for the response of one entry VM. Unit: duration.")
	flags.BoolVar(&a.isJSON, "json", false, "Print the responses as JSON. Unit: true or false.")
}

// list returns the addresses, or a Failure if one is invalid.
func (a *adminFlags) list() ([]string, error) {
	addresses := strings.Split(a.addresses, ",")
	for _, address := range addresses {
		if problem := config.CheckAddress(address); problem != "" {
			return nil, failure(result.SettingsInvalid, "-admin (TARRAGONPOINT_ADMIN): %q %s", address, problem)
		}
	}
	return addresses, nil
}

// ownerCommand queries the entry VMs in order until one returns the owner.
func (p *Program) ownerCommand() *ffcli.Command {
	flags := p.flags("owner")
	var options adminFlags
	options.bind(flags)
	tenant := flags.String("tenant", "", "Tenant of the key; it determines the placement class. Unit: name.")
	return p.command("owner", "SERVICE KEY", "print the owner of a key", flags, func(ctx context.Context, args []string) error {
		addresses, err := options.list()
		if err != nil {
			return err
		}
		query := url.Values{"service": {args[0]}, "key": {args[1]}}
		if *tenant != "" {
			query.Set("tenant", *tenant)
		}
		for _, address := range addresses {
			var body []byte
			if body, err = p.queryAdmin(ctx, options.timeout, address, admin.OwnerPath, query); err == nil {
				return p.print(options, body, formatOwner)
			}
		}
		return err
	})
}

// statusCommand queries all entry VMs and fails if the query of any of them fails.
func (p *Program) statusCommand() *ffcli.Command {
	flags := p.flags("status")
	var options adminFlags
	options.bind(flags)
	return p.command("status", "", "print the status of entry VMs", flags, func(ctx context.Context, _ []string) error {
		addresses, err := options.list()
		if err != nil {
			return err
		}
		var lastErr error
		for _, address := range addresses {
			body, err := p.queryAdmin(ctx, options.timeout, address, admin.StatusPath, nil)
			if err == nil {
				err = p.print(options, body, formatStatus)
			}
			if err != nil {
				lastErr = err
			}
		}
		return lastErr
	})
}

// queryAdmin returns the indented JSON response of an admin endpoint.
func (p *Program) queryAdmin(ctx context.Context, timeout time.Duration, address, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	endpoint := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := p.HTTP.Do(request)
	if err != nil {
		return nil, failure(result.AdminUnavailable, "entry VM at %s did not respond: %v", address, withoutURL(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return nil, failure(result.AdminUnavailable, "response of the entry VM at %s is incomplete: %v", address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, statusFailure(address, response.StatusCode, body)
	}
	var indented bytes.Buffer
	if response.StatusCode != http.StatusOK || json.Indent(&indented, body, "", "  ") != nil {
		return nil, failure(result.AdminUnavailable, "entry VM at %s responded with status %d and without valid JSON", address, response.StatusCode)
	}
	return indented.Bytes(), nil
}

// statusFailure returns the failure for a response with an error status. The result code in the body becomes part of
// the message only, because codes for callers have no exit code.
func statusFailure(address string, status int, body []byte) *Failure {
	code := result.UsageError
	if status >= http.StatusInternalServerError {
		code = result.AdminUnavailable
	}
	var response admin.ErrorResponse
	if json.Unmarshal(body, &response) != nil || response.Name == "" {
		return failure(code, "entry VM at %s rejected the request with status %d", address, status)
	}
	return failure(code, "entry VM at %s responded with %d %s: %s", address, response.Code, response.Name, response.Meaning)
}

// withoutURL removes the URL from an error of the HTTP client, because the URL contains the key and the tenant.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}
