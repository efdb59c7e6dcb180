#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_INI_TEXT_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_INI_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/last_reason.h"

namespace wisteriayoke {

/// One assignment of an INI text.
struct IniAssignment {
  std::string section;
  std::string name;
  std::string value;
  int line = 0;  ///< Line number, counted from 1.

  std::string FullName() const { return section + "." + name; }
};

/// Returns the assignments of `ini`, in order. Fails with kSettingInvalid.
std::optional<std::vector<IniAssignment>> ParseIni(const std::string& ini,
                                                   LastReason& reason);

/// Sets `reason` to kSettingUnknown, with the line and the nearest of `known`.
void ExplainUnknownSetting(const IniAssignment& assignment,
                           const std::vector<std::string>& known,
                           LastReason& reason);

/// Returns the text of the file at `path`. Fails with kFileUnreadable.
std::optional<std::string> ReadTextFile(const std::string& path,
                                        LastReason& reason);

/// Splits `text` at commas and trims each part; empty parts are left out.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_INI_TEXT_H_
