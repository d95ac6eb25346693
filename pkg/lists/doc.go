// Package lists defines the two documents that operators edit: the plans of the
// customers, and the allowances, which state what each plan may use and the
// capacity of each model. The package validates both documents, stores accepted
// revisions in the key-value service and guarantees that a process never reverts
// to an older revision.
package lists
