package dispatch

import "sync"

// pool runs jobs from a bounded queue on a fixed number of goroutines.
type pool struct {
	jobs chan func()
	quit chan struct{}
	wg   sync.WaitGroup
}

func newPool(workers, queue int) *pool {
	p := &pool{jobs: make(chan func(), queue), quit: make(chan struct{})}
	p.wg.Add(workers)
	for range workers {
		go p.work()
	}
	return p
}

func (p *pool) work() {
	defer p.wg.Done()
	for {
		select {
		case job := <-p.jobs:
			job()
		case <-p.quit:
			return
		}
	}
}

// submit queues a job and returns false if the queue is full.
func (p *pool) submit(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// stop ends the workers after their current jobs. Queued jobs are dropped.
func (p *pool) stop() {
	close(p.quit)
	p.wg.Wait()
}
