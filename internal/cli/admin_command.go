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
	// adminTimeout bounds one call to an admin endpoint.
	adminTimeout = 5 * time.Second
	// maxAdminBytes bounds an answer of an admin endpoint, in bytes.
	maxAdminBytes = 4 << 20
)

type adminFlags struct {
	addresses string
	timeout   time.Duration
	isJSON    bool
}

func (a *adminFlags) bind(flags *flag.FlagSet) {
	flags.StringVar(&a.addresses, "admin", "127.0.0.1:8081", "Admin addresses of entry VMs. Unit: IP:port, separated by commas.")
	flags.DurationVar(&a.timeout, "admin-timeout", adminTimeout, "Longest time for the answer of one entry VM. Unit: duration.")
	flags.BoolVar(&a.isJSON, "json", false, "Print the answers as JSON. Unit: true or false.")
}

func (a *adminFlags) list() ([]string, error) {
	addresses := strings.Split(a.addresses, ",")
	for _, address := range addresses {
		if problem := config.CheckAddress(address); problem != "" {
			return nil, failure(result.SettingsInvalid, "-admin (TARRAGONPOINT_ADMIN): %q %s", address, problem)
		}
	}
	return addresses, nil
}

// ownerCommand asks the entry VMs one after another until one answers.
func (p *Program) ownerCommand() *ffcli.Command {
	flags := p.flags("owner")
	var asked adminFlags
	asked.bind(flags)
	tenant := flags.String("tenant", "", "Tenant of the key; it decides the placement class. Unit: name.")
	return p.command("owner", "SERVICE KEY", "print the owner of a key", flags, func(ctx context.Context, args []string) error {
		addresses, err := asked.list()
		if err != nil {
			return err
		}
		query := url.Values{"service": {args[0]}, "key": {args[1]}}
		if *tenant != "" {
			query.Set("tenant", *tenant)
		}
		for _, address := range addresses {
			var answer []byte
			if answer, err = p.ask(ctx, asked.timeout, address, admin.OwnerPath, query); err == nil {
				return p.print(asked, answer, formatOwner)
			}
		}
		return err
	})
}

// statusCommand asks all entry VMs and fails if any does not answer.
func (p *Program) statusCommand() *ffcli.Command {
	flags := p.flags("status")
	var asked adminFlags
	asked.bind(flags)
	return p.command("status", "", "print the status of entry VMs", flags, func(ctx context.Context, _ []string) error {
		addresses, err := asked.list()
		if err != nil {
			return err
		}
		var lastErr error
		for _, address := range addresses {
			answer, err := p.ask(ctx, asked.timeout, address, admin.StatusPath, nil)
			if err == nil {
				err = p.print(asked, answer, formatStatus)
			}
			if err != nil {
				lastErr = err
			}
		}
		return lastErr
	})
}

// ask returns the indented JSON answer of an admin endpoint.
func (p *Program) ask(ctx context.Context, timeout time.Duration, address, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := p.HTTP.Do(request)
	if err != nil {
		return nil, failure(result.AdminUnavailable, "entry VM at %s does not answer: %v", address, withoutURL(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return nil, failure(result.AdminUnavailable, "answer of the entry VM at %s broke off: %v", address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, refused(address, response.StatusCode, body)
	}
	var indented bytes.Buffer
	if response.StatusCode != http.StatusOK || json.Indent(&indented, body, "", "  ") != nil {
		return nil, failure(result.AdminUnavailable, "entry VM at %s answered with status %d and no valid JSON", address, response.StatusCode)
	}
	return indented.Bytes(), nil
}

// refused returns the failure for an answer with an error status. The code of the answer goes into the message, since codes for
// callers have no exit code.
func refused(address string, status int, body []byte) *Failure {
	code := result.UsageError
	if status >= http.StatusInternalServerError {
		code = result.AdminUnavailable
	}
	var refusal admin.ErrorResponse
	if json.Unmarshal(body, &refusal) != nil || refusal.Name == "" {
		return failure(code, "entry VM at %s refused the question with status %d", address, status)
	}
	return failure(code, "entry VM at %s: %d %s: %s", address, refusal.Code, refusal.Name, refusal.Meaning)
}

// withoutURL removes the URL from an error, because it contains the key and the tenant.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}
