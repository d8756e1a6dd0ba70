package fleet

// startProgram is the program that the fleet's machine of this index starts with. Where there are two builds they
// alternate, so that each class of machines has both.
func (p Plan) startProgram(index int) string {
	if p.OtherProgram != "" && index%2 == 1 {
		return p.OtherProgram
	}
	return p.Program
}

// Program is what the machine's process runs from its next start on.
func (m *Machine) Program() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.program
}

// SwapProgram gives a machine the other build from its next start on; with one build nothing changes.
func (f *Fleet) SwapProgram(m *Machine) {
	if f.Plan.OtherProgram == "" {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.program == f.Plan.Program {
		m.program = f.Plan.OtherProgram
	} else {
		m.program = f.Plan.Program
	}
}
