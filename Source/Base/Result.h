#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include "Base/Error.h"

namespace almondspoke {

/** \brief Holds a value or an Error. Accessing the one that it does not hold
 * terminates the process, so that an unchecked error never leads to a wrong
 * result. */
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/** Returns the success value, for functions that return Result<void>. */
inline auto
Success()
{
  return boost::outcome_v2::success();
}

}
