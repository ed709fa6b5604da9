/** The settings tree in INI: parsing, checking and typed views. */
package org.acaciafold.settings;
