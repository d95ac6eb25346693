// Package fleet defines the types that describe what an operator's platform serves:
// the active configuration with its routes, services and models, and the registered
// backend servers. Values are immutable once they are shared.
package fleet
