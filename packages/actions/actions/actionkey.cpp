#include "actions/actionkey.h"
