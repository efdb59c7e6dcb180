#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_REFERENCE_DOCS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_REFERENCE_DOCS_H_

#include <string>

namespace wisteriayoke {

/// Returns the page of all settings in Markdown, generated from their table.
std::string DescribeSettings();

/// Returns the page of all result codes in Markdown, generated from their
/// table.
std::string DescribeResultCodes();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_REFERENCE_DOCS_H_
