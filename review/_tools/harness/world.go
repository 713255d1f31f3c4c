package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// world is a small deployment: the platform's store, instances and entry machines, all on loopback addresses.
type world struct {
	*recorder
	root      string
	temp      string
	trouble   bool
	store     *standin.Store
	storeAddr string
	machines  []*machine
	instances []*instance
	// violations are the grants that broke OWNER; mu guards them.
	violations []string
}

// machine is one process of the role gateway.
type machine struct {
	w                          *world
	name, zone, region         string
	front, ready, peer, metric string
	storeAddr                  string
	memoryMB                   int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

const zonesSetting = "coast-a=coast,coast-b=coast"

func newWorld(dir string, trouble bool) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{recorder: &recorder{start: time.Now(), file: file}, root: root, temp: temp, trouble: trouble, store: standin.NewStore(standin.StoreOptions{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// put writes a record of a keyed topic as the platform's operator or an instance does.
func (w *world) put(topic, key, value string) {
	w.store.Put(standin.StorePut{Topic: topic, Records: []standin.Record{{Key: key, Value: []byte(value)}}})
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range 50 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		reserved.Lock()
		taken := reserved.addresses[address]
		reserved.addresses[address] = true
		reserved.Unlock()
		if !taken {
			return address, nil
		}
	}
	return "", errors.New("no free address")
}

var reserved = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

func (w *world) addMachine(name, zone string) (*machine, error) {
	m := &machine{w: w, name: name, zone: zone, region: "coast", storeAddr: w.storeAddr, memoryMB: 284}
	for _, address := range []*string{&m.front, &m.ready, &m.peer, &m.metric} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	w.machines = append(w.machines, m)
	return m, nil
}

// settings renders the fields of deploy/gateway.settings with the figures of a small deployment.
func (m *machine) settings() string {
	return strings.Join([]string{
		"vm-id " + m.name, "zone " + m.zone, "region " + m.region, "zones " + zonesSetting,
		"listen-callers " + m.front, "listen-ready " + m.ready, "listen-metrics " + m.metric, "listen-peers " + m.peer,
		"store-address " + m.storeAddr, "retry-share 0.2", "retry-window 10s", "retry-burst 62", "hold-max 10000ms", "grace 6s",
		"cold-burst 5", "cold-factor 1.5", "link-mbps 1000.0", fmt.Sprintf("memory-mb %d", m.memoryMB), "",
	}, "\n")
}

// start starts the process with the command of deploy/system.toml.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.w.temp, m.name+".settings")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	m.starts++
	output, err := os.Create(filepath.Join(m.w.temp, fmt.Sprintf("%s-%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(m.w.root, "target/tarragonpoint"), "gateway")
	command.Dir = m.w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "TARRAGONPOINT_CONFIG=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	m.w.add("%s: process %d starts", m.name, m.starts)
	go func() {
		err := command.Wait()
		_ = output.Close()
		m.w.add("%s: process ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return 0
	}
	return m.command.Process.Pid
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return
	}
	m.w.add("%s: signal %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

// stop kills the process and waits for its end.
func (m *machine) stop() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(limit time.Duration) error {
	for _, m := range w.machines {
		if !waitUntil(limit, m.isReady) {
			return fmt.Errorf("%s is not ready within %s", m.name, limit)
		}
	}
	w.add("all machines are ready")
	return nil
}

// leader returns the machine whose log says last that it became the leader.
func (w *world) leader() *machine {
	var last *machine
	latest := ""
	for _, m := range w.machines {
		raw, err := os.ReadFile(filepath.Join(w.temp, fmt.Sprintf("%s-%d.log", m.name, m.starts)))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if !strings.Contains(line, "this VM became the leader") {
				continue
			}
			_, after, _ := strings.Cut(line, `"time":"`)
			at, _, _ := strings.Cut(after, `"`)
			if at > latest {
				latest, last = at, m
			}
		}
	}
	return last
}

func waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	for _, m := range w.machines {
		m.stop()
	}
	for _, i := range w.instances {
		i.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs:", w.temp)
	}
	_ = w.file.Close()
}
