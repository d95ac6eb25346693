// Package fleet holds the types that describe what an operator's platform
// serves: the configuration in force with its routes, services and models, and
// the backend servers that have registered themselves. Values are immutable
// once they are shared.
package fleet
